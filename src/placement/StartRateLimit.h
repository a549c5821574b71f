#pragma once

#include "mustardwinch/Clock.h"

#include <deque>

namespace mustardwinch {

/**
 * Limits the requests sent to an upstream in any one-second window in which it may be cold.
 *
 * Load patterns:
 * (1) an upstream returns cold, or turns cold without notice, and is overloaded by a rate that it
 *     handles when warm. Retries and the load of other failed upstreams all arrive within that
 *     second;
 * (2) a small service receives many short calls, more per second and upstream than a cold one
 *     bears, while most of its slots are free. An upstream that was warm at some moment can have
 *     been cold for later requests only, so earlier ones do not count against the limit.
 */
class StartRateLimit
{
public:
  /** Whether another request may be sent now. @param aPerSecond 0: no limit */
  bool Allows(TimePoint aNow, double aPerSecond) const;

  /** Number of requests that may still be sent now. @param aPerSecond above 0 */
  double Remaining(TimePoint aNow, double aPerSecond) const;

  void OnStart(TimePoint aNow);

  /** A request that was counted at aBefore is sent only now. */
  void OnDelayedStart(TimePoint aBefore, TimePoint aNow);

  /** The upstream was warm at aAsOf or later. */
  void OnWarm(TimePoint aAsOf) { mWarmAsOf = aAsOf; }

  /** The upstream is cold: all requests of the last second count. */
  void OnCold() { mWarmAsOf = {}; }

private:
  std::deque<TimePoint> mStarts; //!< start times within the last second, oldest first
  TimePoint mWarmAsOf{};         //!< latest moment at which it is known to have been warm
};

} // namespace mustardwinch
