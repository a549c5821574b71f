#include "placement/WaitingQueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mustardwinch {
namespace {

/** Number of organisations whose last start is kept; no more of them wait at one gate at a time. */
constexpr std::size_t kMaxTrackedOrganisations = 64;

} // namespace

void WaitingQueue::Add(WaitingRequest aRequest)
{
  mWaiting.push_back(std::move(aRequest));
}

TimePoint WaitingQueue::LastStart(const std::string& aOrganisation) const
{
  for (const auto& [organisation, at] : mLastStarts) {
    if (organisation == aOrganisation) {
      return at;
    }
  }
  return {};
}

std::optional<WaitingRequest> WaitingQueue::TakeNext(TimePoint aNow)
{
  const auto next = std::min_element(
    mWaiting.begin(),
    mWaiting.end(),
    [this](const WaitingRequest& aOne, const WaitingRequest& aTwo) {
      return std::make_tuple(aOne.priority, LastStart(aOne.organisation), aOne.since) <
             std::make_tuple(aTwo.priority, LastStart(aTwo.organisation), aTwo.since);
    });
  if (next == mWaiting.end()) {
    return std::nullopt;
  }
  WaitingRequest request = std::move(*next);
  mWaiting.erase(next);
  std::erase_if(mLastStarts,
                [&](const auto& aEntry) { return aEntry.first == request.organisation; });
  mLastStarts.emplace_back(request.organisation, aNow);
  if (mLastStarts.size() > kMaxTrackedOrganisations) {
    mLastStarts.erase(mLastStarts.begin());
  }
  return request;
}

std::vector<WaitingRequest> WaitingQueue::TakeExpired(TimePoint aNow)
{
  const auto kept =
    std::stable_partition(mWaiting.begin(), mWaiting.end(), [&](const WaitingRequest& aRequest) {
      return aNow <= aRequest.latestStart;
    });
  std::vector<WaitingRequest> expired(kept, mWaiting.end());
  mWaiting.erase(kept, mWaiting.end());
  return expired;
}

bool WaitingQueue::Remove(std::uint64_t aId)
{
  return std::erase_if(mWaiting, [&](const WaitingRequest& aOne) { return aOne.id == aId; }) != 0;
}

std::vector<WaitingRequest> WaitingQueue::TakeAll()
{
  return std::exchange(mWaiting, {});
}

std::size_t WaitingQueue::CountAhead(int aPriority) const
{
  return static_cast<std::size_t>(
    std::count_if(mWaiting.begin(), mWaiting.end(), [&](const WaitingRequest& aOne) {
      return aOne.priority <= aPriority;
    }));
}

} // namespace mustardwinch
