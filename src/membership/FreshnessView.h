#pragma once

#include "membership/Freshness.h"
#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** Snapshot of FreshnessTracker at its last tick; can be evaluated at any later time. */
struct FreshnessView
{
  /** If more time than this passed since the last tick, the process was paused or the clock
   * jumped, and no evidence counts. */
  static constexpr Milliseconds kPauseLimit{ 3'000 };

  TimePoint lastTick{};
  TimePoint confirmedUntil{};
  TimePoint reachableUntil{};

  bool operator==(const FreshnessView&) const = default;

  Freshness At(TimePoint aNow) const
  {
    if (aNow - lastTick > kPauseLimit) {
      return Freshness::kIsolated;
    }
    if (aNow < confirmedUntil) {
      return Freshness::kConfirmed;
    }
    return aNow < reachableUntil ? Freshness::kPlatformUnreachable : Freshness::kIsolated;
  }
};

} // namespace mustardwinch
