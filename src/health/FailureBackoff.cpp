#include "health/FailureBackoff.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr int kFailuresBeforeHold = 3;
constexpr Duration kInitialHold = Seconds(1);
constexpr Duration kMaxHold = Seconds(30);
constexpr Duration kFlapResetInterval = Seconds(60);

} // namespace

void FailureBackoff::OnFailure(TimePoint aNow)
{
  if (IsActive(aNow)) {
    return;
  }
  // A failure right after a hold means that the target has not recovered, so one is enough.
  const bool justReturned = mHold > Duration::zero() && mConsecutiveFailures > 0;
  ++mConsecutiveFailures;
  if (mConsecutiveFailures < kFailuresBeforeHold && !justReturned) {
    return;
  }
  mHold = mHold == Duration::zero() ? kInitialHold : std::min(mHold * 2, kMaxHold);
  mHoldUntil = aNow + mHold;
}

void FailureBackoff::OnSuccess(TimePoint aNow)
{
  if (IsActive(aNow)) {
    return; // the attempt began before the hold
  }
  mConsecutiveFailures = 0;
  if (aNow - mHoldUntil > kFlapResetInterval) {
    mHold = Duration::zero();
  }
}

void FailureBackoff::HoldFor(TimePoint aNow, Duration aHold)
{
  mHoldUntil = std::max(mHoldUntil, aNow + aHold);
}

} // namespace mustardwinch
