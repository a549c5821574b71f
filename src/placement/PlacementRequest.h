#pragma once

#include "mustardwinch/Clock.h"
#include "rollout/VersionRule.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace mustardwinch {

/** The properties of a request that the choice of an upstream depends on. */
struct PlacementRequest
{
  std::string service;
  bool idempotent = false;        //!< may be retried after a failure
  std::size_t bodyBytes = 0;      //!< size of the request body plus the expected response body
  std::set<std::string> excluded; //!< VMs whose gates were already tried
  VersionRule versions;           //!< versions of the service that may be chosen
  bool lastResort = false;        //!< suspected upstreams are eligible as well
  bool fewTrusted = false; //!< suspicion only raises the cost, see PlacementPolicy::FewTrusted()
  std::uint64_t randomBits = 0; //!< random; spreads requests over gates of equal cost

  bool operator==(const PlacementRequest&) const = default;
};

} // namespace mustardwinch
