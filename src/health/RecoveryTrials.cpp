#include "health/RecoveryTrials.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Duration kFirstHold = Seconds(5);
constexpr Duration kLongestHold = Seconds(300);
constexpr Duration kForgetFlapping = Seconds(600);
constexpr Duration kTrialInterval = Milliseconds(250);
constexpr int kGoodTrials = 8;

} // namespace

void RecoveryTrials::OnEjected(TimePoint aNow)
{
  const bool flaps = mHold > Duration::zero() && aNow - mReleased < kForgetFlapping;
  mHold = flaps ? std::min(mHold * 2, kLongestHold) : kFirstHold;
  mEjected = true;
  mRunning = false;
  mGoodInRow = 0;
  mNextTrial = aNow + mHold;
}

void RecoveryTrials::OnReleased(TimePoint aNow)
{
  mEjected = false;
  mReleased = aNow;
}

bool RecoveryTrials::MayStart(TimePoint aNow) const
{
  return mEjected && !mRunning && aNow >= mNextTrial;
}

void RecoveryTrials::OnStarted(TimePoint aNow)
{
  mRunning = true;
  mNextTrial = aNow + kTrialInterval;
}

void RecoveryTrials::OnFinished(bool aGood, TimePoint aNow)
{
  mRunning = false;
  if (aGood) {
    ++mGoodInRow;
    return;
  }
  mGoodInRow = 0;
  mNextTrial = aNow + mHold;
}

bool RecoveryTrials::HasPassed() const
{
  return mEjected && mGoodInRow >= kGoodTrials;
}

} // namespace mustardwinch
