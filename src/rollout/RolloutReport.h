#pragma once

#include "rollout/RouteCounts.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** What a gate of a service tells the coordinator of a roll-out twice a second. */
struct RolloutReport
{
  std::string service;
  std::uint64_t orderId = 0;
  std::uint32_t step = 0; //!< number of the step that the gate obeys
  std::string vm;
  std::string version;
  bool warm = false;         //!< available, and neither cold nor just started
  std::uint32_t running = 0; //!< requests that the upstream runs
  RouteEvidence routes;      //!< since the order, without those of a cold upstream

  bool operator==(const RolloutReport&) const = default;
};

} // namespace mustardwinch
