#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** Which live members apply this node's configuration, according to their last reports. */
struct InForceReport
{
  std::uint64_t revision = 0;       //!< of this node
  std::uint64_t digest = 0;         //!< of this node
  std::size_t live = 0;             //!< members, this node included
  std::size_t inForce = 0;          //!< members that have the same digest, this node included
  std::vector<std::string> lagging; //!< members that reported another digest
  std::vector<std::string> unheard; //!< members that have not reported yet

  bool operator==(const InForceReport&) const = default;
};

} // namespace mustardwinch
