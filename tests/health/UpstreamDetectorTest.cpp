#include "health/UpstreamDetector.h"

#include "HealthFixture.h"
#include "health/EvidenceTable.h"
#include "health/PathTracker.h"
#include "health/RecoveryTrials.h"

#include <doctest/doctest.h>

#include <random>

using namespace mustardwinch;

namespace {

struct DetectorFixture : HealthFixture
{
  /**
   * Feeds results, of which a share fails, until the verdict is bad; returns how many, at most
   * aMax.
   */
  int ResultsUntilBad(int aMax, double aFailShare, double aSlowFactor, ResultCode aCode)
  {
    for (int i = 1; i <= aMax; ++i) {
      clock.Advance(Milliseconds(50));
      const bool fails = std::uniform_real_distribution<>(0, 1)(random) < aFailShare;
      const double ms = aSlowFactor * std::lognormal_distribution<>(3, 0.7)(random);
      const AttemptResult good = Answer(Milliseconds(static_cast<int>(ms)));
      detector.OnResult(fails ? Failed(aCode) : good, peers, clock.Now());
      if (detector.Verdict().IsBad()) {
        return i;
      }
    }
    return aMax;
  }

  std::mt19937 random{ 5 };
  PeerSummary peers{ 24, Milliseconds(20), 0.01 };
  UpstreamDetector detector;
};

} // namespace

TEST_CASE_FIXTURE(DetectorFixture, "UpstreamDetector, healthy with noise, stays good")
{
  CHECK(ResultsUntilBad(200'000, 0.01, 1, ResultCode::kUpstreamFailed) == 200'000);
}

TEST_CASE_FIXTURE(DetectorFixture, "UpstreamDetector, partial failures, found within few requests")
{
  SUBCASE("all fail")
  {
    CHECK(ResultsUntilBad(1000, 1, 1, ResultCode::kUpstreamFailed) <= 10);
  }
  SUBCASE("half of the responses cut")
  {
    CHECK(ResultsUntilBad(1000, 0.5, 1, ResultCode::kAnswerCut) <= 60);
  }
  SUBCASE("a third fails")
  {
    CHECK(ResultsUntilBad(1000, 0.3, 1, ResultCode::kUpstreamFailed) <= 200);
  }
  SUBCASE("refuses connections")
  {
    CHECK(ResultsUntilBad(1000, 1, 1, ResultCode::kGateConnectFailed) <= 10);
  }
  CHECK(detector.Verdict().reason == EjectionReason::kFailing);
}

TEST_CASE_FIXTURE(DetectorFixture, "UpstreamDetector, five times slower than its peers, found")
{
  CHECK(ResultsUntilBad(1000, 0, 5, ResultCode::kOk) <= 100);
  CHECK(detector.Verdict().reason == EjectionReason::kSlow);
}

TEST_CASE_FIXTURE(DetectorFixture, "UpstreamDetector, all peers fail equally, verdict stays good")
{
  peers.failureShare = 0.3;
  CHECK(ResultsUntilBad(20'000, 0.3, 1, ResultCode::kUpstreamFailed) == 20'000);
}

TEST_CASE_FIXTURE(DetectorFixture,
                  "UpstreamDetector, no response on pooled connections, pool dropped first")
{
  const AttemptResult silent{ ResultCode::kUpstreamFailed, 0, {}, Milliseconds(5), true };
  for (int i = 0; i < 100; ++i) {
    detector.OnResult(silent, peers, clock.Now());
    CHECK(detector.ShouldDropPool());
    detector.OnResult(Answer(Milliseconds(20)), peers, clock.Now());
  }
  CHECK_FALSE(detector.Verdict().IsBad());
  CHECK_FALSE(detector.ShouldDropPool());
}

TEST_CASE_FIXTURE(DetectorFixture,
                  "UpstreamDetector, deadline too short or caller gone, verdict stays good")
{
  for (int i = 0; i < 200; ++i) {
    detector.OnResult(Failed(ResultCode::kDeadlineAfterSend), peers, clock.Now());
    detector.OnResult(Failed(ResultCode::kCallerGone), peers, clock.Now());
  }
  CHECK_FALSE(detector.Verdict().IsBad());
}

TEST_CASE("PathTracker, one-way loss, path avoided and no failure attributed to the upstream")
{
  const TimePoint now{ Seconds(10) };
  PathTracker paths;
  AttemptResult silent = HealthFixture::Failed(ResultCode::kDeadlineAfterSend);
  silent.pathFailed = true;
  const AttemptResult down = HealthFixture::Failed(ResultCode::kLinkDown);
  for (const AttemptResult& it : { silent, down, silent }) {
    CHECK(FaultSourceOf(it) == FaultSource::kPath);
    paths.Report(HealthFixture::At(1), it, now);
  }
  CHECK(paths.IsAvoided(HealthFixture::At(1), now));
  CHECK_FALSE(paths.IsAvoided(HealthFixture::At(2), now));
  CHECK_FALSE(paths.IsAvoided(HealthFixture::At(1), now + Seconds(2)));
}

TEST_CASE("EvidenceTable, confirms only with an observer other than the gate")
{
  const TimePoint now{ Seconds(10) };
  const Address upstream = HealthFixture::At(1);
  EvidenceTable table;
  CHECK_FALSE(table.Confirms(upstream, EjectionReason::kFailing, now));
  SUBCASE("ingress saw failures")
  {
    const UpstreamEvidence evidence{ upstream, 10, 4, 0 };
    const auto decoded = UpstreamEvidence::Decode(evidence.Encode());
    REQUIRE(decoded == evidence);
    table.Report(HealthFixture::At(9), *decoded, now);
    CHECK_FALSE(table.Confirms(upstream, EjectionReason::kSlow, now));
  }
  SUBCASE("probe fails")
  {
    table.ReportProbe(upstream, false);
    table.ReportProbe(upstream, false);
  }
  CHECK(table.Confirms(upstream, EjectionReason::kFailing, now));
  CHECK_FALSE(UpstreamEvidence::Decode("nonsense"));
}

TEST_CASE("RecoveryTrials, upstream flaps, each hold longer than the last")
{
  TimePoint now{ Seconds(1000) };
  RecoveryTrials record;
  Duration last{};
  for (int i = 0; i < 4; ++i) {
    record.OnEjected(now);
    Duration hold{};
    for (; !record.MayStart(now + hold); hold += Seconds(1)) {
    }
    CHECK(hold > last);
    last = hold;
    now += hold;
    while (!record.HasPassed()) {
      record.OnStarted(now);
      record.OnFinished(true, now);
      now += Seconds(1);
    }
    record.OnReleased(now);
  }
}
