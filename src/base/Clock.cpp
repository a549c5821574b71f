#include "mustardwinch/Clock.h"

#include "base/SteadyTime.h"

#include <cassert>
#include <ctime>

namespace mustardwinch {
namespace {

TimePoint SinceBoot()
{
  timespec now{};
  [[maybe_unused]] const int failed = clock_gettime(CLOCK_BOOTTIME, &now);
  assert(failed == 0); // only an unknown clock can fail
  return TimePoint(Seconds(now.tv_sec) + Duration(now.tv_nsec));
}

} // namespace

TimePoint Clock::Now() const
{
  if (mPaused.load(std::memory_order_acquire)) {
    return TimePoint(Duration(mPausedAt.load(std::memory_order_acquire)));
  }
  return mSource == Source::kSinceBoot ? SinceBoot() : SteadyNow();
}

void Clock::Pause()
{
  mPausedAt.store(Now().time_since_epoch().count(), std::memory_order_release);
  mPaused.store(true, std::memory_order_release);
}

void Clock::Advance(Duration aStep)
{
  assert(aStep >= Duration::zero());
  assert(mPaused.load());
  mPausedAt.fetch_add(aStep.count(), std::memory_order_acq_rel);
}

} // namespace mustardwinch
