#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** An organisation whose callers send keys. Resource kind "organisation". */
struct Organisation
{
  std::string name;
  std::vector<std::string> keyHashes; //!< SHA-256 of each key, lower-case hex; keys are not stored
  double ratePerSecond = 0;           //!< requests a second across all VMs
  std::uint32_t burst = 1;            //!< bucket depth in requests across all VMs

  bool operator==(const Organisation&) const = default;
};

} // namespace mustardwinch
