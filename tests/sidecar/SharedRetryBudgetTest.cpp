#include "sidecar/SharedRetryBudget.h"

#include "quota/LocalRateShares.h"
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

TEST_CASE(
  "SharedRetryBudget, owner silent for a moment, advances of all nodes stay within the rest")
{
  RetrySettings settings;
  settings.slack = 62;
  const Organisation budget = MakeSharedRetryBudget("booking", settings);
  const TimePoint now{ Seconds(1'000) };
  const double used =
    budget.ratePerSecond * std::chrono::duration<double>(settings.window).count() + budget.burst;
  double granted = 0;
  for (int i = 0; i < 31; ++i) {
    LocalRateShares shares("vm-" + std::to_string(i), MakeRetryTolerance(settings));
    shares.SetFleet({ {}, 31, 31, now, Seconds(1), false });
    while (shares.Take(now, budget, false).kind == RateVerdict::Kind::kGranted) {
      ++granted;
    }
  }
  CHECK(granted >= 1);
  CHECK(used + granted <= 62);
}
