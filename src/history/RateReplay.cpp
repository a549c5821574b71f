#include "history/RateReplay.h"

#include <algorithm>

namespace mustardwinch {

namespace {

constexpr double kUsPerSecond = 1e6;
// A refill may fall between the sending of a call and its count.
constexpr std::int64_t kSlackCalls = 1;

} // namespace

RateReplay::RateReplay(double aRate, double aBurst)
  : mRate(aRate)
  , mBurst(aBurst)
  , mLevel(aBurst)
{
}

bool RateReplay::Add(std::int64_t aTimeUs, bool aAdmitted)
{
  Refill(aTimeUs);
  mDue += TakeToken() ? 1 : 0;
  if (aAdmitted) {
    ++mAdmitted;
    return true;
  }
  if (mRate > 0 && mDue <= mAdmitted + mWrongful + kSlackCalls) {
    return false;
  }
  ++mWrongful;
  return true;
}

bool RateReplay::TakeToken()
{
  if (mLevel < 1) {
    return false;
  }
  mLevel -= 1;
  return true;
}

void RateReplay::Refill(std::int64_t aTimeUs)
{
  if (mTimeUs != 0 && aTimeUs > mTimeUs) {
    const double seconds = static_cast<double>(aTimeUs - mTimeUs) / kUsPerSecond;
    mLevel = std::min(mBurst, mLevel + seconds * mRate);
  }
  mTimeUs = std::max(mTimeUs, aTimeUs);
}

} // namespace mustardwinch
