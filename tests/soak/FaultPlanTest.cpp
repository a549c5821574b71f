#include "soak/FaultPlan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace mustardwinch;
using namespace mustardwinch::soak;

TEST_CASE("FaultPlan, same seed, same faults; another seed, others")
{
  CHECK(MakeFaultPlan(7, 8, Seconds(20)) == MakeFaultPlan(7, 8, Seconds(20)));
  CHECK(MakeFaultPlan(7, 8, Seconds(20)) != MakeFaultPlan(8, 8, Seconds(20)));
}

TEST_CASE("FaultPlan, long run, has each kind, overlapping faults, and targets in range")
{
  const auto plan = MakeFaultPlan(1, 8, Seconds(600));
  std::set<std::string> kinds;
  std::size_t overlaps = 0;
  for (std::size_t i = 0; i < plan.size(); ++i) {
    kinds.insert(NameOf(plan[i].kind));
    CHECK(plan[i].target < 8);
    CHECK(plan[i].at < Seconds(600));
    overlaps += i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].length ? 1 : 0;
  }
  CHECK(kinds.size() == kFaultKinds);
  CHECK(overlaps > plan.size() / 2);
  CHECK(std::is_sorted(plan.begin(), plan.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.at < aRight.at;
  }));
}

TEST_CASE("FaultPlan, seeds that failed once, have the faults with which they failed")
{
  const std::vector<FaultStep> plan130{
    { FaultKind::kResetLink, 1, Milliseconds(37), Milliseconds(2'062) },
    { FaultKind::kStoreMalformed, 0, Milliseconds(655), Milliseconds(3'934) },
    { FaultKind::kUpstreamHangs, 0, Milliseconds(4'880), Milliseconds(687) },
  };
  CHECK(MakeFaultPlan(130, 8, Seconds(6)) == plan130);
  const auto plan150 = MakeFaultPlan(150, 8, Seconds(6));
  REQUIRE(plan150.size() == 11);
  const FaultStep first{ FaultKind::kStoreBusy, 1, Milliseconds(88), Milliseconds(1'587) };
  const FaultStep fifth{ FaultKind::kReloadNode, 3, Milliseconds(2'538), Milliseconds(1'490) };
  const FaultStep last{ FaultKind::kUpstreamGray, 4, Milliseconds(5'412), Milliseconds(4'798) };
  CHECK(plan150.front() == first);
  CHECK(plan150[4] == fifth);
  CHECK(plan150.back() == last);
}
