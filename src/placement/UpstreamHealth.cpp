#include "placement/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace mustardwinch {
namespace {

// Log-likelihood ratios of the outcomes: an upstream with a gray failure fails 70% of its requests,
// a healthy one answers 1.2% with an error and has hard failures for less than 1 in 1000.
constexpr double kErrorEvidence = 2.2;
constexpr double kHardFailureEvidence = 5.5;
constexpr double kSuccessEvidence = -1.2;

/** A healthy upstream stalls on 1 request in 25, a hanging one on half of them. */
constexpr double kStallEvidence = 2.5;

// Limits of the log-odds, so that a few new outcomes outweigh a long history.
constexpr double kMinLogOdds = -4.5;
constexpr double kMaxLogOdds = 3.5;

/** Log-odds to which an upstream without recent outcomes decays: 5%. */
constexpr double kPriorLogOdds = -3.0;

/** Time constant of the decay. Gray failures last for 5 to 9 s, so evidence expires in that time.
 */
constexpr double kDecaySeconds = 8;

/** 13%: from here on a request that cannot be retried is better sent to another upstream. */
constexpr double kSuspicionLogOdds = -1.9;

// Delays before the next trial: 1.2 s after a failure; less after a success, so that an upstream
// that has recovered is trusted again quickly.
constexpr Milliseconds kTrialDelay{ 1'200 };
constexpr Milliseconds kTrialDelayAfterSuccess{ 250 };

/** Slow periods last about as long as gray failures; after that the ratio no longer counts. */
constexpr Milliseconds kLatencyMaxAge{ 4'000 };

constexpr double kLatencyWeight = 0.2; //!< of the newest response; the weight of a response
                                       //!< is about a third of that five responses later

} // namespace

double UpstreamHealth::LogOddsAt(TimePoint aNow) const
{
  const double seconds = std::chrono::duration<double>(aNow - mLastEvidence).count();
  const double weight = std::exp(-std::max(0.0, seconds) / kDecaySeconds);
  return kPriorLogOdds + (mLogOdds - kPriorLogOdds) * weight;
}

void UpstreamHealth::AddEvidence(TimePoint aNow, double aEvidence)
{
  mLogOdds = std::clamp(LogOddsAt(aNow) + aEvidence, kMinLogOdds, kMaxLogOdds);
  mLastEvidence = aNow;
}

void UpstreamHealth::OnSuccess(TimePoint aNow, double aLatencyRatio)
{
  AddEvidence(aNow, kSuccessEvidence);
  mNextTrial = std::min(mNextTrial, aNow + kTrialDelayAfterSuccess);
  if (aLatencyRatio <= 0) {
    return;
  }
  const double previous = LatencyRatioAt(aNow);
  mLatencyRatio =
    previous == 0 ? aLatencyRatio : previous + kLatencyWeight * (aLatencyRatio - previous);
  mLastResponse = aNow;
}

double UpstreamHealth::LatencyRatioAt(TimePoint aNow) const
{
  return aNow - mLastResponse < kLatencyMaxAge ? mLatencyRatio : 0;
}

void UpstreamHealth::OnError(TimePoint aNow)
{
  AddEvidence(aNow, kErrorEvidence);
  mNextTrial = aNow + kTrialDelay;
}

void UpstreamHealth::OnHardFailure(TimePoint aNow)
{
  AddEvidence(aNow, kHardFailureEvidence);
  mNextTrial = aNow + kTrialDelay;
}

void UpstreamHealth::OnStall(TimePoint aNow)
{
  AddEvidence(aNow, kStallEvidence);
  mNextTrial = aNow + kTrialDelay;
}

void UpstreamHealth::OnTrial(TimePoint aNow)
{
  mNextTrial = aNow + kTrialDelay;
}

void UpstreamHealth::Reset()
{
  *this = UpstreamHealth();
}

double UpstreamHealth::GrayProbabilityAt(TimePoint aNow) const
{
  return 1 / (1 + std::exp(-LogOddsAt(aNow)));
}

UpstreamTrust UpstreamHealth::TrustAt(TimePoint aNow) const
{
  if (LogOddsAt(aNow) < kSuspicionLogOdds) {
    return UpstreamTrust::kTrusted;
  }
  return aNow < mNextTrial ? UpstreamTrust::kSuspected : UpstreamTrust::kTrialDue;
}

} // namespace mustardwinch
