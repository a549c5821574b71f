#pragma once

#include <cstdint>

namespace mustardwinch {

/** A watcher's last platform contact and the configuration that it held at that time. */
struct FreshnessBeacon
{
  std::uint64_t ageMs = 0; //!< time from the contact to the sending of the packet
  std::uint64_t digest = 0;
  std::uint64_t revision = 0;

  bool operator==(const FreshnessBeacon&) const = default;
};

} // namespace mustardwinch
