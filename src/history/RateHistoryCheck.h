#pragma once

#include "history/RateLimitChange.h"
#include "history/RateViolation.h"

#include <optional>
#include <vector>

namespace mustardwinch {

/**
 * Judges from a history alone whether an organisation was admitted more than rate * t + burst over
 * any window of length t. Where the limits changed inside a window, the rate counts for as long as
 * it was in force, and the burst is the greatest that was in force in the window.
 *
 * Takes n log n steps for n admissions (to sort them), and c * c for c changes.
 */
class RateHistoryCheck
{
public:
  /** @param aChanges in order of time, at least one; the first is in force from the beginning */
  explicit RateHistoryCheck(std::vector<RateLimitChange> aChanges);

  /** @param aAdmitted when each request was admitted, in any order */
  std::optional<RateViolation> Check(std::vector<TimePoint> aAdmitted) const;

private:
  struct Extreme;

  std::vector<Extreme> Extremes(const std::vector<TimePoint>& aAdmitted) const;
  double TokensUntil(TimePoint aTime) const;
  std::size_t SegmentOf(TimePoint aTime) const;

  std::vector<RateLimitChange> mChanges;
};

} // namespace mustardwinch
