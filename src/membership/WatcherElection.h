#pragma once

#include "mustardwinch/VmIdentity.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Ranks the live members of a failure domain by the hash of their names. The first kWatchers watch
 * the platform. While views differ temporarily there can be more or fewer watchers, which is
 * harmless because watchers only read.
 */
class WatcherElection
{
public:
  static constexpr std::size_t kWatchers = 2;

  /** Members of the failure domain, highest rank first. */
  static std::vector<VmIdentity> Rank(const std::vector<VmIdentity>& aLive,
                                      const std::string& aFailureDomain);

  /** Whether aName is a watcher. @param aRanked members of its failure domain, highest rank first
   */
  static bool IsAmongFirst(const std::vector<VmIdentity>& aRanked, const std::string& aName);
};

} // namespace mustardwinch
