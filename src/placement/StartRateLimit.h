#pragma once

#include "mustardwinch/Clock.h"

#include <deque>

namespace mustardwinch {

/**
 * Limits the requests sent to an upstream in any one-second window.
 *
 * Load pattern: an upstream returns cold, or turns cold without notice, and is overloaded by a rate
 * that it handles when warm. Retries and the load of other failed upstreams all arrive within that
 * second.
 */
class StartRateLimit
{
public:
  /** Whether another request may be sent now. @param aPerSecond 0: no limit */
  bool Allows(TimePoint aNow, double aPerSecond) const;

  void OnStart(TimePoint aNow);

private:
  std::deque<TimePoint> mStarts; //!< start times within the last second
};

} // namespace mustardwinch
