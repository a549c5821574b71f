#pragma once

#include <cstdint>

namespace mustardwinch {

/** Counters of a RateLimiter since its construction. */
struct RateCounters
{
  std::uint64_t admitted = 0;
  std::uint64_t exceeded = 0;
  std::uint64_t unconfirmed = 0;
  std::uint64_t waited = 0;      //!< requests that had to wait for an owner
  std::uint64_t requests = 0;    //!< grant requests sent to owners
  std::uint64_t settlements = 0; //!< settlements sent to owners

  bool operator==(const RateCounters&) const = default;
};

} // namespace mustardwinch
