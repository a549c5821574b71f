#pragma once

namespace mustardwinch {

/** How an ingress chooses among the gates of a service. */
struct PlacementSettings
{
  bool costAware = false; //!< by expected work instead of the number of requests; not used yet

  bool operator==(const PlacementSettings&) const = default;
};

} // namespace mustardwinch
