#include "placement/StartRateLimit.h"
#include "placement/NodeRetryBudget.h"

#include <doctest/doctest.h>

#include <vector>

using namespace mustardwinch;

TEST_CASE("StartRateLimit, everything arrives at once, any second stays within the bound")
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

TEST_CASE("StartRateLimit, no limit set, allows all")
{
  StartRateLimit limit;
  const TimePoint now{ Seconds(1'000) };
  for (int i = 0; i < 1'000; ++i) {
    limit.OnStart(now);
  }
  CHECK(limit.Allows(now, 0));
}

TEST_CASE(
  "NodeRetryBudget, fleet restarts and all fails, repeats of calls stay in the other's budget")
{
  // 31 nodes, ten seconds from the start: 1270 requests to one service, of which each repeat
  // repeats 7 calls in 10 to another with 425 requests of its own. Budget: 0.2 x requests + 62.
  constexpr std::size_t kNodes = 31;
  constexpr double kCallsPerRequest = 0.7;
  double repeatsAtOther = 0;
  for (std::size_t node = 0; node < kNodes; ++node) {
    NodeRetryBudget first = NodeRetryBudget::ForNode(0.2, 62, kNodes);
    NodeRetryBudget other = NodeRetryBudget::ForNode(0.2, 62, kNodes);
    for (int i = 0; i < 1'270 / 31; ++i) {
      first.OnRequest();
      repeatsAtOther += first.TryTake() ? kCallsPerRequest : 0;
    }
    for (int i = 0; i < 425 / 31; ++i) {
      other.OnRequest();
      repeatsAtOther += other.TryTake() ? 1 : 0;
    }
  }
  CHECK(repeatsAtOther <= 0.2 * 425 + 62);
}

TEST_CASE("NodeRetryBudget, every request fails, repeats stay within ratio and cap")
{
  NodeRetryBudget allowance(0.14, 2);
  int repeats = 0;
  for (int i = 0; i < 1'000; ++i) {
    allowance.OnRequest();
    repeats += allowance.TryTake() ? 1 : 0;
  }
  CHECK(repeats <= 142);
  CHECK(repeats >= 138);
}
