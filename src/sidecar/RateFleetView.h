#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mustardwinch {

/** View of one node on the fleet that shares the rates. */
struct RateFleetView
{
  std::vector<std::string> alive; //!< includes this VM
  std::size_t known = 1;          //!< number of VMs that are members, alive or not
  bool restarted = false;         //!< most VMs are reachable, and all of these have just started

  bool operator==(const RateFleetView&) const = default;
};

} // namespace mustardwinch
