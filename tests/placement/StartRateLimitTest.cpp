#include "placement/StartRateLimit.h"
#include "placement/NodeRetryBudget.h"

#include <doctest/doctest.h>

#include <algorithm>
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

// A service of 17 upstreams with 5 slots got 410 calls a second of 55 ms and refused half of them.
TEST_CASE("StartRateLimit, warm upstream with short requests, starts more than a cold one bears")
{
  constexpr double kBound = 16;
  StartRateLimit limit;
  int allowed = 0;
  TimePoint proof{ Seconds(1'000) };
  for (TimePoint now = proof; now < TimePoint{ Seconds(1'010) }; now += Milliseconds(37)) {
    if (limit.Remaining(now, kBound) <= 4 && now - proof > Milliseconds(250)) {
      proof = now;
      limit.OnWarm(proof);
    }
    if (limit.Allows(now, kBound)) {
      limit.OnStart(now);
      ++allowed;
    }
  }
  CHECK(allowed == 271); // all of them
}

TEST_CASE("StartRateLimit, upstream turns cold at any moment, gets no more than the bound")
{
  constexpr double kBound = 16;
  constexpr double kCold = 7;
  for (int coldMs = 0; coldMs < 2'000; coldMs += 13) {
    StartRateLimit limit;
    const TimePoint begin{ Seconds(1'000) };
    const TimePoint cold = begin + Milliseconds(coldMs);
    std::vector<TimePoint> starts;
    TimePoint asked = begin;
    bool pending = false;
    bool known = false; // the gate knows that the upstream is cold
    for (TimePoint now = begin; now < cold + Seconds(2); now += Milliseconds(5)) {
      if (pending && now - asked >= Milliseconds(30)) {
        pending = false;
        known = now >= cold; // what the upstream tells when it answers
        known ? limit.OnCold() : limit.OnWarm(asked);
      }
      if (!pending && now - asked >= Milliseconds(250)) {
        pending = true;
        asked = now;
      }
      if (limit.Allows(now, known ? kCold : kBound)) {
        limit.OnStart(now);
        starts.push_back(now);
      }
    }
    for (std::size_t i = 0; i < starts.size(); ++i) {
      const auto inSecond = std::count_if(starts.begin(), starts.end(), [&](TimePoint aStart) {
        return aStart >= std::max(cold, starts[i]) && aStart < starts[i] + Seconds(1);
      });
      CHECK(inSecond <= static_cast<int>(kBound));
    }
  }
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
