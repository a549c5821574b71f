#include "placement/StartRateLimit.h"
#include "placement/NodeRetryBudget.h"

#include <doctest/doctest.h>

#include <vector>

using namespace mustardwinch;

TEST_CASE("StartRateLimit, many requests at once, any second stays within the limit")
{
  constexpr double kPerSecond = 43;
  StartRateLimit limit;
  std::vector<TimePoint> starts;
  for (TimePoint now{ Seconds(1'000) }; now < TimePoint{ Seconds(1'010) }; now += Milliseconds(3)) {
    if (limit.Allows(now, kPerSecond)) {
      limit.OnStart(now);
      starts.push_back(now);
    }
  }
  for (std::size_t i = 0; i + 44 < starts.size(); ++i) {
    CHECK(starts[i + 43] - starts[i] >= Seconds(1));
  }
  CHECK(starts.size() >= 400);
}

TEST_CASE("StartRateLimit, no limit set, allows all requests")
{
  StartRateLimit limit;
  const TimePoint now{ Seconds(1'000) };
  for (int i = 0; i < 1'000; ++i) {
    limit.OnStart(now);
  }
  CHECK(limit.Allows(now, 0));
}

TEST_CASE(
  "NodeRetryBudget, fleet restarts and all requests fail, nested calls stay within their budget")
{
  // 31 nodes in the ten seconds after the start: 1270 requests to one service. Each of its retries
  // repeats 0.7 calls on average to another service, which has 425 requests of its own and a budget
  // of 0.2 x requests + 62. Retries of both services count against that budget.
  constexpr std::size_t kNodes = 31;
  constexpr double kCallsPerRequest = 0.7;
  double retriesAtOther = 0;
  for (std::size_t node = 0; node < kNodes; ++node) {
    NodeRetryBudget first = NodeRetryBudget::ForNode(0.2, 62, kNodes);
    NodeRetryBudget other = NodeRetryBudget::ForNode(0.2, 62, kNodes);
    for (int i = 0; i < 1'270 / 31; ++i) {
      first.OnRequest();
      retriesAtOther += first.TryTake() ? kCallsPerRequest : 0;
    }
    for (int i = 0; i < 425 / 31; ++i) {
      other.OnRequest();
      retriesAtOther += other.TryTake() ? 1 : 0;
    }
  }
  CHECK(retriesAtOther <= 0.2 * 425 + 62);
}

TEST_CASE("NodeRetryBudget, every request fails, retries stay within ratio and capacity")
{
  NodeRetryBudget budget(0.14, 2);
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  CHECK(retries <= 142);
  CHECK(retries >= 138);
}
