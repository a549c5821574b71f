#include "placement/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace mustardwinch {
namespace {

// Logarithms of likelihood ratios: a gray upstream fails 70%, a sound one answers 1.2% with an
// error and breaks off less than 1 in 1000.
constexpr double kErrorEvidence = 2.2;
constexpr double kBreakEvidence = 5.5;
constexpr double kSuccessEvidence = -1.2;

/** A sound upstream is that slow for 1 request in 25, one that hangs for half of them. */
constexpr double kStallEvidence = 2.5;

// Bounds, so that an old past is outweighed by a few outcomes.
constexpr double kLeastOdds = -4.5;
constexpr double kMostOdds = 3.5;

/** Odds of an upstream of which nothing was heard for long: 5%. */
constexpr double kRestOdds = -3.0;

/** Gray episodes last for 5 to 9 s, so what was seen loses its weight in that time. */
constexpr double kMemorySeconds = 8;

/** 13%: above it a request that cannot be repeated is better off elsewhere. */
constexpr double kDoubtOdds = -1.9;

// Trials: the first soon after the failure; more often after a success, to return quickly.
constexpr Milliseconds kTrialGap{ 1'200 };
constexpr Milliseconds kTrialGapAfterSuccess{ 250 };

/** Slow episodes last about as long as gray ones; afterwards the upstream is as good as others. */
constexpr Milliseconds kLatencyMemory{ 4'000 };

constexpr double kLatencyWeight = 0.2; //!< of the newest answer; five answers back it has halved

} // namespace

double UpstreamHealth::OddsAt(TimePoint aNow) const
{
  const double seconds = std::chrono::duration<double>(aNow - mLast).count();
  const double kept = std::exp(-std::max(0.0, seconds) / kMemorySeconds);
  return kRestOdds + (mOdds - kRestOdds) * kept;
}

void UpstreamHealth::Add(TimePoint aNow, double aEvidence)
{
  mOdds = std::clamp(OddsAt(aNow) + aEvidence, kLeastOdds, kMostOdds);
  mLast = aNow;
}

void UpstreamHealth::OnSuccess(TimePoint aNow, double aLatencyRatio)
{
  Add(aNow, kSuccessEvidence);
  mNextTrial = std::min(mNextTrial, aNow + kTrialGapAfterSuccess);
  if (aLatencyRatio <= 0) {
    return;
  }
  const double known = LatencyRatioAt(aNow);
  mLatencyRatio = known == 0 ? aLatencyRatio : known + kLatencyWeight * (aLatencyRatio - known);
  mLastAnswer = aNow;
}

double UpstreamHealth::LatencyRatioAt(TimePoint aNow) const
{
  return aNow - mLastAnswer < kLatencyMemory ? mLatencyRatio : 0;
}

void UpstreamHealth::OnError(TimePoint aNow)
{
  Add(aNow, kErrorEvidence);
  mNextTrial = aNow + kTrialGap;
}

void UpstreamHealth::OnHardFailure(TimePoint aNow)
{
  Add(aNow, kBreakEvidence);
  mNextTrial = aNow + kTrialGap;
}

void UpstreamHealth::OnStall(TimePoint aNow)
{
  Add(aNow, kStallEvidence);
  mNextTrial = aNow + kTrialGap;
}

void UpstreamHealth::OnTrial(TimePoint aNow)
{
  mNextTrial = aNow + kTrialGap;
}

void UpstreamHealth::Reset()
{
  *this = UpstreamHealth();
}

double UpstreamHealth::GrayProbabilityAt(TimePoint aNow) const
{
  return 1 / (1 + std::exp(-OddsAt(aNow)));
}

UpstreamTrust UpstreamHealth::TrustAt(TimePoint aNow) const
{
  if (OddsAt(aNow) < kDoubtOdds) {
    return UpstreamTrust::kTrusted;
  }
  return aNow < mNextTrial ? UpstreamTrust::kSuspected : UpstreamTrust::kTrialDue;
}

} // namespace mustardwinch
