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

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, new upstream, takes all requests")
{
  CHECK(health.TrustAt(now) == UpstreamTrust::kTrusted);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, one break after many successes, in doubt")
{
  Succeed(20);
  health.OnHardFailure(now);
  CHECK(health.TrustAt(now) == UpstreamTrust::kSuspected);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, one error after many successes, still proven")
{
  Succeed(20);
  health.OnError(now);
  CHECK(health.TrustAt(now) == UpstreamTrust::kTrusted);
  health.OnError(now);
  CHECK(health.TrustAt(now) == UpstreamTrust::kSuspected);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, break and one lucky success, still in doubt")
{
  Succeed(20);
  health.OnHardFailure(now);
  health.OnHardFailure(now);
  Succeed(1);
  CHECK(health.TrustAt(now) != UpstreamTrust::kTrusted);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, in doubt, one trial is due after a pause")
{
  health.OnHardFailure(now);
  CHECK(health.TrustAt(now + Milliseconds(100)) == UpstreamTrust::kSuspected);
  now += Milliseconds(1'300);
  CHECK(health.TrustAt(now) == UpstreamTrust::kTrialDue);
  health.OnTrial(now);
  CHECK(health.TrustAt(now) == UpstreamTrust::kSuspected);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, successes on trial, proven again within seconds")
{
  Succeed(20);
  health.OnHardFailure(now);
  Succeed(5);
  CHECK(health.TrustAt(now) == UpstreamTrust::kTrusted);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, nothing heard for a minute, doubt is forgotten")
{
  health.OnHardFailure(now);
  CHECK(health.TrustAt(now + Seconds(60)) == UpstreamTrust::kTrusted);
}

TEST_CASE_FIXTURE(HealthFixture, "UpstreamHealth, slow time without answers since, is forgotten")
{
  health.OnSuccess(now, 4.0);
  CHECK(health.LatencyRatioAt(now) == doctest::Approx(4.0));
  CHECK(health.LatencyRatioAt(now + Seconds(5)) == 0);
}

TEST_CASE("UpstreamHealth, replay of gray episodes, few requests meet a gray upstream")
{
  // One upstream at 5 requests a second, gray for 6 s in every 20 s, when it breaks off 70%; the
  // rest of the time it answers 1.2% with an error.
  std::mt19937_64 random(20261204);
  std::uniform_real_distribution<> draw(0, 1);
  UpstreamHealth health;
  TimePoint now{ Seconds(1'000) };
  int met = 0;
  int heldBack = 0;
  int sound = 0;
  for (int i = 0; i < 10'000; ++i) {
    now += Milliseconds(200);
    const auto second = std::chrono::duration_cast<Seconds>(now.time_since_epoch()).count() % 20;
    const bool gray = second < 6;
    const UpstreamTrust trust = health.TrustAt(now);
    sound += gray ? 0 : 1;
    if (trust == UpstreamTrust::kSuspected) {
      heldBack += gray ? 0 : 1;
      continue;
    }
    if (trust == UpstreamTrust::kTrialDue) {
      health.OnTrial(now);
    }
    met += gray && trust == UpstreamTrust::kTrusted ? 1 : 0;
    if (gray && draw(random) < 0.7) {
      health.OnHardFailure(now);
    } else if (!gray && draw(random) < 0.012) {
      health.OnError(now);
    } else {
      health.OnSuccess(now, 0.3);
    }
  }
  // 100 episodes: at most three requests meet each, and a sound upstream is held back a fifth of
  // the time, most of it just after an episode.
  CHECK(met <= 300);
  CHECK(heldBack * 5 <= sound);
}
