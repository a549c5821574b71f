#pragma once

#include "history/ChangeRecord.h"
#include "history/TimeInterval.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardwinch {

/** Whether a resource has a property after a change of it. */
using ChangePredicate = std::function<bool(const ChangeRecord&)>;

/**
 * The times in which the resource had the property. Before its first change it does not have it.
 *
 * @param aChanges in order of time
 */
std::vector<TimeInterval> IntervalsWhere(const std::vector<ChangeRecord>& aChanges,
                                         const std::string& aKind,
                                         const std::string& aName,
                                         const ChangePredicate& aPredicate);

/** Whether a time is in one of the intervals, aDelayUs or more after its begin. */
bool IsInside(const std::vector<TimeInterval>& aIntervals,
              std::int64_t aTimeUs,
              std::int64_t aDelayUs);

/** The last change of the resource at or before the time; null if there is none. */
const ChangeRecord* ChangeInForce(const std::vector<ChangeRecord>& aChanges,
                                  const std::string& aKind,
                                  const std::string& aName,
                                  std::int64_t aTimeUs);

} // namespace mustardwinch
