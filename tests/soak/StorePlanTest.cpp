#include "soak/StorePlan.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using namespace mustardwinch::soak;

TEST_CASE("StorePlan, same seed, same steps; another seed, others")
{
  CHECK(MakeStorePlan(7, Seconds(60)) == MakeStorePlan(7, Seconds(60)));
  CHECK(MakeStorePlan(7, Seconds(60)) != MakeStorePlan(8, Seconds(60)));
}

TEST_CASE("StorePlan, long run, steps do not overlap and have all variants")
{
  const auto plan = MakeStorePlan(1, Seconds(600));
  REQUIRE(plan.size() > 20);
  Milliseconds last{ 0 };
  int silent = 0;
  int cuts = 0;
  int atOnce = 0;
  for (const StoreStep& it : plan) {
    CHECK(last <= it.copied);
    CHECK(it.copied <= it.away);
    CHECK(it.away <= it.back);
    CHECK(it.back <= it.rewritten);
    last = it.rewritten;
    silent += it.silent ? 1 : 0;
    cuts += it.cuts ? 1 : 0;
    atOnce += it.back == it.rewritten ? 1 : 0;
  }
  const int n = static_cast<int>(plan.size());
  for (const int it : { silent, cuts, atOnce }) {
    CHECK(it > 0);
    CHECK(it < n);
  }
}
