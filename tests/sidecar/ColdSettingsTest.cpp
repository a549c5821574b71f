#include "sidecar/ColdSettings.h"

#include "placement/StartRateLimit.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

/** An upstream with a cold capacity of 11 starts per second, and a bound of 24.5 starts per second.
 */
struct ColdFixture
{
  /** Offers requests at an even rate for five seconds and returns how many start. */
  int Offer(int aPerSecond, bool aCold)
  {
    int started = 0;
    for (int i = 0; i < 5 * aPerSecond; ++i) {
      now += Duration(Seconds(1)) / aPerSecond;
      if (limit.Allows(now, cold.StartsPerSecond(11, aCold))) {
        limit.OnStart(now);
        ++started;
      }
    }
    return started;
  }

  ColdSettings cold{ 1.2, 1.5, 8 };
  StartRateLimit limit;
  TimePoint now{ Seconds(1'000) };
};

} // namespace

TEST_CASE_FIXTURE(ColdFixture,
                  "ColdSettings, inner calls above the cold capacity, all start if warm")
{
  CHECK(Offer(17, false) == 5 * 17);
}

TEST_CASE_FIXTURE(ColdFixture, "ColdSettings, overload, stays below the bound of a cold upstream")
{
  CHECK(Offer(200, false) <= 5 * 24);
}

TEST_CASE_FIXTURE(ColdFixture,
                  "ColdSettings, upstream announces it is cold, receives about its cold capacity")
{
  CHECK(Offer(200, true) <= 5 * 13 + 1);
}

TEST_CASE_FIXTURE(ColdFixture, "ColdSettings, cold capacity unknown, no bound")
{
  CHECK(cold.StartsPerSecond(0, false) == 0);
  CHECK(cold.StartsPerSecond(0, true) == 0);
}
