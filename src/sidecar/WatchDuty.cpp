#include "sidecar/WatchDuty.h"

#include "quota/RateOwner.h"

#include <algorithm>
#include <cstddef>

namespace mustardwinch {
namespace {

/** Watchers a failure domain, so that a large configuration is fetched within the domain. */
constexpr std::size_t kWatchersPerDomain = 1;

} // namespace

bool HasWatchDuty(const std::vector<WatchCandidate>& aLive, const std::string& aVm)
{
  const bool someReachStore =
    std::any_of(aLive.begin(), aLive.end(), [](const auto& aOne) { return aOne.reachesStore; });
  std::vector<std::string> vms;
  bool isCandidate = false;
  for (const WatchCandidate& it : aLive) {
    if (it.reachesStore || !someReachStore) {
      vms.push_back(it.vm);
      isCandidate = isCandidate || it.vm == aVm;
    }
  }
  return isCandidate && RankFor("watch", vms, aVm) < kWatchersPerDomain;
}

} // namespace mustardwinch
