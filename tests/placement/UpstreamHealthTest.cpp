#include "placement/UpstreamHealth.h"

#include <doctest/doctest.h>

#include <random>

using namespace mustardwinch;

namespace {

struct HealthFixture
{
  void Succeed(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      now += Milliseconds(100);
      health.OnSuccess(now, 0.3);
    }
  }

  TimePoint now{ Seconds(1'000) };
  UpstreamHealth health;
};

} // namespace

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, new upstream, trusted")
{
  CHECK(health.TrustAt(now) == UpstreamTrust::kTrusted);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, one hard failure after many successes, suspected")
{
  Succeed(20);
  health.OnHardFailure(now);
  CHECK(health.TrustAt(now) == UpstreamTrust::kSuspected);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, one error after many successes, still trusted")
{
  Succeed(20);
  health.OnError(now);
  CHECK(health.TrustAt(now) == UpstreamTrust::kTrusted);
  health.OnError(now);
  CHECK(health.TrustAt(now) == UpstreamTrust::kSuspected);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, hard failures and one success, still suspected")
{
  Succeed(20);
  health.OnHardFailure(now);
  health.OnHardFailure(now);
  Succeed(1);
  CHECK(health.TrustAt(now) != UpstreamTrust::kTrusted);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, suspected, one trial is due after a delay")
{
  health.OnHardFailure(now);
  CHECK(health.TrustAt(now + Milliseconds(100)) == UpstreamTrust::kSuspected);
  now += Milliseconds(1'300);
  CHECK(health.TrustAt(now) == UpstreamTrust::kTrialDue);
  health.OnTrial(now);
  CHECK(health.TrustAt(now) == UpstreamTrust::kSuspected);
}

TEST_CASE_FIXTURE(HealthFixture,
                  "UpstreamHealth, successes after a hard failure, trusted again within seconds")
{
  Succeed(20);
  health.OnHardFailure(now);
  Succeed(5);
  CHECK(health.TrustAt(now) == UpstreamTrust::kTrusted);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, no outcome for a minute, suspicion expires")
{
  health.OnHardFailure(now);
  CHECK(health.TrustAt(now + Seconds(60)) == UpstreamTrust::kTrusted);
}

TEST_CASE_FIXTURE(HealthFixture,
                  "UpstreamHealth, no response since a slow period, latency ratio expires")
{
  health.OnSuccess(now, 4.0);
  CHECK(health.LatencyRatioAt(now) == doctest::Approx(4.0));
  CHECK(health.LatencyRatioAt(now + Seconds(5)) == 0);
}

TEST_CASE("UpstreamHealth, simulated gray failures, few requests reach a failing upstream")
{
  // One upstream at 5 requests per second. For 6 s in every 20 s it has a gray failure with 70%
  // hard failures; the rest of the time it answers 1.2% of the requests with an error.
  std::mt19937_64 random(20261204);
  std::uniform_real_distribution<> draw(0, 1);
  UpstreamHealth health;
  TimePoint now{ Seconds(1'000) };
  int sentWhileGray = 0;
  int suspectedWhileHealthy = 0;
  int healthy = 0;
  for (int i = 0; i < 10'000; ++i) {
    now += Milliseconds(200);
    const auto second = std::chrono::duration_cast<Seconds>(now.time_since_epoch()).count() % 20;
    const bool gray = second < 6;
    const UpstreamTrust trust = health.TrustAt(now);
    healthy += gray ? 0 : 1;
    if (trust == UpstreamTrust::kSuspected) {
      suspectedWhileHealthy += gray ? 0 : 1;
      continue;
    }
    if (trust == UpstreamTrust::kTrialDue) {
      health.OnTrial(now);
    }
    sentWhileGray += gray && trust == UpstreamTrust::kTrusted ? 1 : 0;
    if (gray && draw(random) < 0.7) {
      health.OnHardFailure(now);
    } else if (!gray && draw(random) < 0.012) {
      health.OnError(now);
    } else {
      health.OnSuccess(now, 0.3);
    }
  }
  // 100 gray failures: on average at most three requests reach the failing upstream while it is
  // trusted. A healthy upstream is suspected for at most a fifth of the time, mostly just after a
  // gray failure.
  CHECK(sentWhileGray <= 300);
  CHECK(suspectedWhileHealthy * 5 <= healthy);
}
