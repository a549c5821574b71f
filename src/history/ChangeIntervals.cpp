#include "history/ChangeIntervals.h"

#include <algorithm>
#include <limits>

namespace mustardwinch {

std::vector<TimeInterval> IntervalsWhere(const std::vector<ChangeRecord>& aChanges,
                                         const std::string& aKind,
                                         const std::string& aName,
                                         const ChangePredicate& aPredicate)
{
  constexpr std::int64_t kForever = std::numeric_limits<std::int64_t>::max();
  std::vector<TimeInterval> intervals;
  bool has = false;
  for (const ChangeRecord& it : aChanges) {
    if (it.kind != aKind || it.name != aName) {
      continue;
    }
    const bool had = has;
    has = aPredicate(it);
    if (has && !had) {
      intervals.push_back({ it.acceptedUs, kForever });
    } else if (had && !has) {
      intervals.back().untilUs = it.acceptedUs;
    }
  }
  return intervals;
}

bool IsInside(const std::vector<TimeInterval>& aIntervals,
              std::int64_t aTimeUs,
              std::int64_t aDelayUs)
{
  return std::any_of(aIntervals.begin(), aIntervals.end(), [&](const TimeInterval& aInterval) {
    return aInterval.Contains(aTimeUs) && aTimeUs - aInterval.fromUs >= aDelayUs;
  });
}

const ChangeRecord* ChangeInForce(const std::vector<ChangeRecord>& aChanges,
                                  const std::string& aKind,
                                  const std::string& aName,
                                  std::int64_t aTimeUs)
{
  const ChangeRecord* last = nullptr;
  for (const ChangeRecord& it : aChanges) {
    if (it.kind == aKind && it.name == aName && it.acceptedUs <= aTimeUs) {
      last = &it;
    }
  }
  return last;
}

} // namespace mustardwinch
