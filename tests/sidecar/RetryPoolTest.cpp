#include "sidecar/RetryPool.h"

#include "quota/TokenBucket.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

TEST_CASE("RetryPool, all asks at all times, any window stays in the slack")
{
  RetrySettings settings;
  settings.slack = 62;
  const Organisation pool = RetryPoolOf("booking", settings);
  TokenBucket bucket(TimePoint{ Seconds(1'000) }, pool.burst);
  int granted = 0;
  for (Milliseconds it{ 0 }; it < settings.window; it += Milliseconds(10)) {
    const TimePoint now = TimePoint{ Seconds(1'000) } + it;
    granted += bucket.TryTake(now, pool.ratePerSecond, pool.burst) ? 1 : 0;
  }
  CHECK(granted <= 62);
  CHECK(granted >= 31); // half of the slack is there for those who need it
}
