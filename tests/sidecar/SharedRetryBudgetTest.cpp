#include "sidecar/SharedRetryBudget.h"

#include "quota/TokenBucket.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

TEST_CASE("SharedRetryBudget, continuous demand, each window stays within the slack")
{
  RetrySettings settings;
  settings.slack = 62;
  const Organisation budget = MakeSharedRetryBudget("booking", settings);
  TokenBucket bucket(TimePoint{ Seconds(1'000) }, budget.burst);
  int granted = 0;
  for (Milliseconds it{ 0 }; it < settings.window; it += Milliseconds(10)) {
    const TimePoint now = TimePoint{ Seconds(1'000) } + it;
    granted += bucket.TryTake(now, budget.ratePerSecond, budget.burst) ? 1 : 0;
  }
  CHECK(granted <= 62);
  CHECK(granted >= 31); // at least half of the slack is usable
}
