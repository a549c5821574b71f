#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/**
 * Tracks whether this process should avoid one target that failed. After several consecutive
 * failures the target is avoided for a hold time, which doubles while the target keeps flapping.
 * Not thread safe.
 */
class FailureBackoff
{
public:
  /** Records a failure caused by the target. Starts a hold after several consecutive ones. */
  void OnFailure(TimePoint aNow);

  /**
   * Records a success: resets the count of consecutive failures, but does not end an active hold.
   */
  void OnSuccess(TimePoint aNow);

  /** Starts a hold of at least aHold at once, because the target refused the request explicitly. */
  void HoldFor(TimePoint aNow, Duration aHold);

  /** Whether a hold is active, so that the target is to be avoided. */
  bool IsActive(TimePoint aNow) const { return aNow < mHoldUntil; }

private:
  int mConsecutiveFailures = 0;
  Duration mHold{};
  TimePoint mHoldUntil{};
};

} // namespace mustardwinch
