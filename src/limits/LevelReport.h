#pragma once

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Status of one organisation's bucket in one slice, for operators. */
struct LevelReport
{
  std::string organisation;
  double ratePerSecond = 0;
  std::uint32_t burst = 0;
  double level = 0;
  double outstanding = 0;
  std::uint64_t granted = 0; //!< tokens granted since this node acquired the lease
  std::uint64_t empty = 0;   //!< requests answered with kEmpty since then

  bool operator==(const LevelReport&) const = default;
};

} // namespace mustardwinch
