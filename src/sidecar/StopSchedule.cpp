#include "sidecar/StopSchedule.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** The platform polls readiness every second and needs two failures. Callers that arrive until then
 * are served whatever time their requests may take, since it still sends them here. */
constexpr Milliseconds kNoticeTime{ 3'000 };

/** A busy process handles the signal later than the platform sent it, so its own clock of the stop
 * runs behind. */
constexpr Milliseconds kSignalDelay{ 250 };

/** New callers may arrive this long after the signal. */
constexpr Milliseconds kMinStopTime{ 3'200 };

/** Time between the exit and the end of the grace period, so that the exit is orderly. */
constexpr Milliseconds kStopMargin{ 250 };

/** Time between the last answers and the exit, so that they reach callers on slow links. */
constexpr Milliseconds kFinalAnswerTime{ 400 };

/** A request that reaches its deadline is answered this long before the final answers. */
constexpr Milliseconds kDeadlineMargin{ 100 };

} // namespace

bool StopSchedule::MayTake(TimePoint aNow, TimePoint aDeadline) const
{
  const Duration elapsed = aNow - mBegin;
  if (elapsed < std::min<Duration>(kNoticeTime, mGrace / 2) - kSignalDelay) {
    return true;
  }
  // From half of the grace period on nothing is taken, so that the node can end before it is over.
  return elapsed < mGrace / 2 && aDeadline + kDeadlineMargin <= FinalAnswers();
}

TimePoint StopSchedule::FinalAnswers() const
{
  return LatestExit() - kFinalAnswerTime;
}

TimePoint StopSchedule::EarliestExit() const
{
  return mBegin + kMinStopTime;
}

TimePoint StopSchedule::LatestExit() const
{
  return mBegin + mGrace - kStopMargin;
}

} // namespace mustardwinch
