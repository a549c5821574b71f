#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/UpstreamRecord.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Announcement that an upstream sends to its local node. */
struct Announcement
{
  std::string service;
  Address upstream;
  std::string instance; //!< changes whenever the upstream restarts
  UpstreamState state = UpstreamState::kStarting;
  std::uint32_t slots = 0;       //!< 0: use the value of the service
  std::uint32_t connections = 0; //!< 0: use the value of the service
  double load = 0;               //!< self-reported running requests; may be stale or wrong

  bool operator==(const Announcement&) const = default;
};

} // namespace mustardwinch
