#pragma once

#include <compare>
#include <string>
#include <vector>

namespace mustardwinch {

/** A live VM of a failure domain, as one that may watch the store for the others. */
struct WatchCandidate
{
  std::string vm;
  bool reachesStore = true; //!< as it last told

  auto operator<=>(const WatchCandidate&) const = default;
};

/**
 * Whether a VM polls the store often and informs the others of its failure domain. The same VM is
 * found by all that have the same view. VMs that do not reach the store are passed over, unless
 * none reaches it.
 *
 * Load pattern: one VM of each failure domain is cut off from the store alone, and the store loses
 * its history meanwhile, so that long watches of the others bring nothing either.
 */
bool HasWatchDuty(const std::vector<WatchCandidate>& aLive, const std::string& aVm);

} // namespace mustardwinch
