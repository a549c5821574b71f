#pragma once

#include <cstdint>

namespace mustardwinch {

/** How a platform response changed this node's lease. */
enum class LeaseChange : std::uint8_t
{
  kNone,
  kAcquired,
  kRenewed,
  kReleased,
  kLost, //!< another holder took over
};

} // namespace mustardwinch
