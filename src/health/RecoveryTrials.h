#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/**
 * Trial requests to one ejected upstream, scheduled by its gate: when the next one may start and
 * whether enough consecutive ones succeeded to end the ejection. The hold time before the first
 * trial doubles while the upstream flaps. Not thread safe.
 */
class RecoveryTrials
{
public:
  void OnEjected(TimePoint aNow);
  void OnReleased(TimePoint aNow);

  bool IsEjected() const { return mEjected; }

  /** Whether a trial request may start; at most one runs at a time. */
  bool MayStart(TimePoint aNow) const;
  void OnStarted(TimePoint aNow);
  void OnFinished(bool aSucceeded, TimePoint aNow);

  /** Whether enough consecutive trials succeeded to end the ejection. */
  bool HasPassed() const;

private:
  bool mEjected = false;
  bool mTrialRunning = false;
  int mConsecutiveSuccesses = 0;
  Duration mHold{};
  TimePoint mNextTrial{};
  TimePoint mReleasedAt{};
};

} // namespace mustardwinch
