#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** What the upstream beside a node says of itself. */
struct UpstreamAnnouncement
{
  std::string instance; //!< names one start of the upstream, mostly
  std::string service;
  Address address;
  std::string failureDomain;
  std::uint32_t slots = 1;
  bool draining = false;
  std::uint64_t processStartMs = 0; //!< start of the upstream's process, Unix milliseconds
  std::uint64_t sequence = 0;       //!< grows with each announcement of one process
  Milliseconds coldRemaining{ 0 };  //!< how much longer it stays cold

  bool operator==(const UpstreamAnnouncement&) const = default;
};

} // namespace mustardwinch
