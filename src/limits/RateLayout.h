#pragma once

#include <cstdint>

namespace mustardwinch {

/** How rates are distributed over owners. Fleet-wide, agreed through the platform. */
struct RateLayout
{
  std::uint32_t shards = 16; //!< organisations are hashed to shards
  std::uint32_t slices = 2;  //!< parts of each organisation's rate and burst

  bool operator==(const RateLayout&) const = default;
};

} // namespace mustardwinch
