#include "sidecar/AnsweredRequests.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** A connection on which more requests wait for a repeat is closed. */
constexpr std::size_t kMaxRequests = 64;

} // namespace

bool AnsweredRequests::Add(TimePoint aNow, const std::string& aId, TimePoint aUntil)
{
  std::erase_if(mUntil, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  if (mUntil.size() >= kMaxRequests) {
    return false;
  }
  TimePoint& until = mUntil[aId];
  until = std::max(until, aUntil);
  return true;
}

bool AnsweredRequests::Contains(TimePoint aNow, const std::string& aId) const
{
  const auto it = mUntil.find(aId);
  return it != mUntil.end() && aNow < it->second;
}

} // namespace mustardwinch
