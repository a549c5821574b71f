#include "health/RecoveryTrials.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Duration kInitialHold = Seconds(5);
constexpr Duration kMaxHold = Seconds(300);
constexpr Duration kFlapResetInterval = Seconds(600);
constexpr Duration kTrialInterval = Milliseconds(250);
constexpr int kTrialsToRecover = 8;

} // namespace

void RecoveryTrials::OnEjected(TimePoint aNow)
{
  const bool flaps = mHold > Duration::zero() && aNow - mReleasedAt < kFlapResetInterval;
  mHold = flaps ? std::min(mHold * 2, kMaxHold) : kInitialHold;
  mEjected = true;
  mTrialRunning = false;
  mConsecutiveSuccesses = 0;
  mNextTrial = aNow + mHold;
}

void RecoveryTrials::OnReleased(TimePoint aNow)
{
  mEjected = false;
  mReleasedAt = aNow;
}

bool RecoveryTrials::MayStart(TimePoint aNow) const
{
  return mEjected && !mTrialRunning && aNow >= mNextTrial;
}

void RecoveryTrials::OnStarted(TimePoint aNow)
{
  mTrialRunning = true;
  mNextTrial = aNow + kTrialInterval;
}

void RecoveryTrials::OnFinished(bool aSucceeded, TimePoint aNow)
{
  mTrialRunning = false;
  if (aSucceeded) {
    ++mConsecutiveSuccesses;
    return;
  }
  mConsecutiveSuccesses = 0;
  mNextTrial = aNow + mHold;
}

bool RecoveryTrials::HasPassed() const
{
  return mEjected && mConsecutiveSuccesses >= kTrialsToRecover;
}

} // namespace mustardwinch
