#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** State that the upstream beside a node announces. */
struct UpstreamAnnouncement
{
  std::string instance; //!< usually unique for each start of the upstream
  std::string service;
  Address address;
  std::string failureDomain;
  std::uint32_t slots = 1;
  bool draining = false;
  std::uint64_t processStartMs = 0; //!< start time of the upstream's process, Unix milliseconds
  std::uint64_t sequence = 0;       //!< increases with each announcement of one process
  Milliseconds coldRemaining{ 0 };  //!< remaining time for which it is cold
  std::string version{};            //!< of its software; empty if it does not tell

  bool operator==(const UpstreamAnnouncement&) const = default;
};

} // namespace mustardwinch
