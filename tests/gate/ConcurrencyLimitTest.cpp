#include "gate/ConcurrencyLimit.h"

#include <doctest/doctest.h>

#include <random>

using namespace mustardwinch;

namespace {

using Mode = ConcurrencyLimit::Mode;

struct LimitFixture
{
  static AttemptResult Good(Duration aTime)
  {
    return { ResultCode::kOk, 200, aTime, aTime, false };
  }

  void Respond(int aCount, Duration aTime = Milliseconds(20))
  {
    for (int i = 0; i < aCount; ++i) {
      now += Milliseconds(10);
      limit.OnResult(Good(aTime), now);
    }
  }

  void Refuse(ResultCode aCode, bool aPooled = false)
  {
    now += Milliseconds(100);
    limit.OnResult({ aCode, 0, {}, {}, aPooled }, now);
  }

  TimePoint now{ Seconds(1000) };
  ConcurrencyLimit limit{ 7, Seconds(10), now };
};

} // namespace

TEST_CASE_FIXTURE(LimitFixture, "ConcurrencyLimit, cold start, never above the ramp")
{
  ConcurrencyLimit unlimited{ 7, Seconds(10), now, Mode::kNone };
  CHECK(unlimited.Limit(now) == 7); // all slots at once, without a ramp
  for (int i = 0; i < 100; ++i) {
    const double bound = 1 + 6 * i / 100.0;
    CHECK(limit.Limit(now) <= bound);
    Respond(10);
  }
  CHECK(limit.Limit(now) == 7);
  CHECK_FALSE(limit.IsCold(now));
}

TEST_CASE_FIXTURE(LimitFixture, "ConcurrencyLimit, latency rises sharply, cold again")
{
  Respond(1100);
  REQUIRE(limit.Limit(now) == 7);
  Respond(25, Milliseconds(200));
  CHECK(limit.Limit(now) == 1);
  CHECK(limit.IsCold(now));
}

TEST_CASE_FIXTURE(LimitFixture, "ConcurrencyLimit, refused or shed twice in a row, cold again")
{
  Respond(1100);
  SUBCASE("connection refused")
  {
    Refuse(ResultCode::kGateConnectFailed);
  }
  SUBCASE("shed")
  {
    Refuse(ResultCode::kGateShed);
  }
  SUBCASE("reset")
  {
    Refuse(ResultCode::kUpstreamFailed);
  }
  CHECK(limit.Limit(now) == 3);
  Refuse(ResultCode::kGateShed);
  CHECK(limit.Limit(now) == 1);
  CHECK(limit.IsCold(now));
}

TEST_CASE_FIXTURE(LimitFixture, "ConcurrencyLimit, silent pooled connection, limit stays")
{
  Respond(1100);
  Refuse(ResultCode::kUpstreamFailed, true);
  CHECK(limit.Limit(now) == 7);
}

TEST_CASE_FIXTURE(LimitFixture, "ConcurrencyLimit, heavy-tailed healthy responses, stays warm")
{
  std::mt19937 random(11);
  std::lognormal_distribution<double> ms(3, 0.7);
  Respond(1100);
  int cold = 0;
  for (int i = 0; i < 20'000; ++i) {
    now += Milliseconds(10);
    limit.OnResult(Good(Duration(static_cast<Duration::rep>(ms(random) * 1e6))), now);
    cold += limit.IsCold(now) ? 1 : 0;
  }
  CHECK(cold == 0);
}
