#pragma once

#include "mustardwinch/Clock.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace mustardwinch {

/** What the choice of an upstream needs to know of a request. */
struct PlacementRequest
{
  std::string service;
  bool idempotent = false;        //!< and may be sent once more if it fails
  std::size_t bodyBytes = 0;      //!< of the request and, as expected, of its answer
  std::set<std::string> excluded; //!< VMs whose gate has been tried for this request
  bool lastResort = false;        //!< doubtful upstreams count as well
  bool fewTrusted = false; //!< so many are doubtful that doubt is only a cost, see FewTrusted()
  std::uint64_t randomBits = 0; //!< random; spreads requests over gates that cost the same

  bool operator==(const PlacementRequest&) const = default;
};

} // namespace mustardwinch
