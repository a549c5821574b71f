#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/**
 * Times of a planned stop: until when requests are taken, when those that are still open are
 * answered, and when the process exits.
 *
 * Load pattern: most nodes of a failure domain are stopped together, so the platform goes on
 * sending callers to them. A request that is taken late and runs for long would be cut by the end
 * of the grace period, which its caller could have avoided by going elsewhere.
 */
class StopSchedule
{
public:
  /** @param aBegin when the stop signal was handled @param aGrace after the signal the process is
   * killed */
  StopSchedule(TimePoint aBegin, Duration aGrace)
    : mBegin(aBegin)
    , mGrace(aGrace)
  {
  }

  /**
   * Whether a request that is read now may be run. Asked for each request, since each of them has
   * to keep the limit.
   *
   * @param aDeadline when the caller or the route gives the request up
   */
  bool MayTake(TimePoint aNow, TimePoint aDeadline) const;

  /** When the node itself answers the requests that are still open. */
  TimePoint FinalAnswers() const;

  /** Earliest time of the exit: callers may arrive until then. */
  TimePoint EarliestExit() const;

  /** Latest time of the exit. */
  TimePoint LatestExit() const;

private:
  TimePoint mBegin;
  Duration mGrace;
};

} // namespace mustardwinch
