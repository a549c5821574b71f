#include "membership/WatcherElection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace mustardwinch {

std::vector<VmIdentity> WatcherElection::Rank(const std::vector<VmIdentity>& aLive,
                                              const std::string& aFailureDomain)
{
  std::vector<std::pair<std::uint64_t, const VmIdentity*>> scored;
  for (const VmIdentity& it : aLive) {
    if (it.failureDomain == aFailureDomain) {
      scored.emplace_back(XXH3_64bits(it.name.data(), it.name.size()), &it);
    }
  }
  std::sort(scored.begin(), scored.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                       : aLeft.second->name < aRight.second->name;
  });
  std::vector<VmIdentity> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, identity] : scored) {
    ranked.push_back(*identity);
  }
  return ranked;
}

bool WatcherElection::IsAmongFirst(const std::vector<VmIdentity>& aRanked, const std::string& aName)
{
  const auto end = aRanked.begin() + static_cast<long>(std::min(kWatchers, aRanked.size()));
  return std::any_of(
    aRanked.begin(), end, [&](const VmIdentity& aMember) { return aMember.name == aName; });
}

} // namespace mustardwinch
