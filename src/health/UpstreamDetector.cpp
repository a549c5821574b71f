#include "health/UpstreamDetector.h"

#include <algorithm>

namespace mustardwinch {
namespace {

// On average at least e^16, nine million, requests until a false alarm.
constexpr double kAlarmThreshold = 16;
constexpr double kMinBaselineFailureShare = 0.02;
constexpr double kMinAnomalousFailureShare = 0.3;
constexpr double kMaxBaselineFailureShare = 0.5;
constexpr double kAnomalousFailureMargin = 0.3;
constexpr double kBaselineSlowShare = 0.3;
constexpr double kAnomalousSlowShare = 0.6;
constexpr int kSlowFactor = 2; // a response is slow above this many times the median latency
constexpr Milliseconds kSlowMargin{ 5 }; // plus this margin
constexpr int kTrialSlowFactor = 4;
constexpr std::size_t kMinPeers = 3;
constexpr int kToleratedPooledFailures = 3; // consecutive; further ones count as upstream failures
constexpr double kFailureShareGain = 0.02;
constexpr Seconds kIdleResetInterval{ 60 };

enum class ResultKind : std::uint8_t
{
  kGood,
  kFailure,
  kIgnored,
};

ResultKind Classify(const AttemptResult& aResult, const PeerSummary& aPeers)
{
  switch (aResult.code) {
    case ResultCode::kOk:
      return ResultKind::kGood;
    case ResultCode::kUpstreamFailed:
    case ResultCode::kAnswerCut:
    case ResultCode::kGateConnectFailed:
      return ResultKind::kFailure;
    case ResultCode::kDeadlineAfterSend: {
      // A deadline too short for a normal response is not a failure of the upstream.
      const bool waitedLong = aResult.total > kTrialSlowFactor * aPeers.medianLatency;
      return waitedLong ? ResultKind::kFailure : ResultKind::kIgnored;
    }
    default:
      return ResultKind::kIgnored;
  }
}

bool IsSlow(Duration aLatency, const PeerSummary& aPeers, int aFactor)
{
  return aPeers.peerCount >= kMinPeers &&
         aLatency > aFactor * aPeers.medianLatency + Duration(kSlowMargin);
}

} // namespace

UpstreamDetector::UpstreamDetector()
  : mMedian(0.5)
{
}

void UpstreamDetector::Reset()
{
  mFailureCusum.Reset();
  mSlowCusum.Reset();
  mFailureShare = 0;
  mPooledFailures = 0;
}

void UpstreamDetector::OnResult(const AttemptResult& aResult,
                                const PeerSummary& aPeers,
                                TimePoint aNow)
{
  if (aNow - mLastResult > kIdleResetInterval) {
    Reset();
  }
  mLastResult = aNow;
  const ResultKind kind = Classify(aResult, aPeers);
  if (kind == ResultKind::kIgnored) {
    return;
  }
  const bool failed = kind == ResultKind::kFailure;
  if (failed && aResult.pooledConnection && aResult.status == 0) {
    ++mPooledFailures; // the pooled connection may have been stale, with the upstream healthy
    if (mPooledFailures <= kToleratedPooledFailures) {
      return;
    }
  }
  if (!failed) {
    mPooledFailures = 0;
  }
  const double baseline =
    std::clamp(2 * aPeers.failureShare, kMinBaselineFailureShare, kMaxBaselineFailureShare);
  mFailureCusum.Add(
    failed, baseline, std::max(kMinAnomalousFailureShare, baseline + kAnomalousFailureMargin));
  mFailureShare += kFailureShareGain * ((failed ? 1 : 0) - mFailureShare);
  if (!failed) {
    mMedian.Add(aResult.firstByte);
    mSlowCusum.Add(
      IsSlow(aResult.firstByte, aPeers, kSlowFactor), kBaselineSlowShare, kAnomalousSlowShare);
  }
}

UpstreamVerdict UpstreamDetector::Verdict() const
{
  if (mFailureCusum.Sum() >= kAlarmThreshold) {
    return { EjectionReason::kFailing, mFailureCusum.Sum() };
  }
  if (mSlowCusum.Sum() >= kAlarmThreshold) {
    return { EjectionReason::kSlow, mSlowCusum.Sum() };
  }
  return {};
}

bool UpstreamDetector::IsGood(const AttemptResult& aResult, const PeerSummary& aPeers)
{
  return aResult.code == ResultCode::kOk && !IsSlow(aResult.firstByte, aPeers, kTrialSlowFactor);
}

} // namespace mustardwinch
