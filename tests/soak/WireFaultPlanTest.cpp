#include "soak/WireFaultPlan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace mustardwinch;
using namespace mustardwinch::soak;

TEST_CASE("WireFaultPlan, same seed, same faults; another seed, others")
{
  CHECK(MakeWirePlan(7, 8, Seconds(20)) == MakeWirePlan(7, 8, Seconds(20)));
  CHECK(MakeWirePlan(7, 8, Seconds(20)) != MakeWirePlan(8, 8, Seconds(20)));
}

TEST_CASE("WireFaultPlan, long run, has each fault, targets in range and an order of time")
{
  const auto plan = MakeWirePlan(1, 8, Seconds(600));
  std::set<std::string> faults;
  for (const WireStep& it : plan) {
    CHECK(it.fault != WireFault::kNone);
    faults.insert(NameOf(it.fault));
    CHECK(it.target < 8);
    CHECK(it.at < Seconds(600));
    CHECK(it.length > Milliseconds(0));
  }
  CHECK(faults.size() == kWireFaults);
  CHECK(std::is_sorted(plan.begin(), plan.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.at < aRight.at;
  }));
}
