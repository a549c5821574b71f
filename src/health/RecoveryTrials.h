#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/**
 * Ejections of one upstream as its gate sees them: when trial requests may go out and when enough
 * of them were good. The time before the first trial doubles while the upstream flaps. Not thread
 * safe.
 */
class RecoveryTrials
{
public:
  void OnEjected(TimePoint aNow);
  void OnReleased(TimePoint aNow);

  bool IsEjected() const { return mEjected; }

  /** Whether a trial may start; at most one runs at a time. */
  bool MayStart(TimePoint aNow) const;
  void OnStarted(TimePoint aNow);
  void OnFinished(bool aGood, TimePoint aNow);

  /** True when the upstream has passed its trials. */
  bool HasPassed() const;

private:
  bool mEjected = false;
  bool mRunning = false;
  int mGoodInRow = 0;
  Duration mHold{};
  TimePoint mNextTrial{};
  TimePoint mReleased{};
};

} // namespace mustardwinch
