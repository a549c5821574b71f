#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mustardwinch {

/** What a node sees of the fleet that shares the rates. */
struct RateFleetView
{
  std::vector<std::string> alive; //!< this VM among them
  std::size_t known = 1;          //!< VMs that there should be
  bool restarted = false;         //!< most are heard, and all of these started a moment ago

  bool operator==(const RateFleetView&) const = default;
};

} // namespace mustardwinch
