#pragma once

#include "mustardwinch/Clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mustardwinch {

/** View of one node on the fleet that shares the rates. */
struct RateFleetView
{
  std::vector<std::string> alive; //!< by agreement of the nodes; includes this VM
  std::size_t known = 1;          //!< number of VMs that are members, alive or not
  std::size_t reached = 1;        //!< number of VMs with which this node has contact, and itself
  TimePoint majorityHeard{};      //!< more than half of the known VMs have been heard since then
  Duration detection{};           //!< time in which a node notices that a VM is out of contact
  bool restarted = false;         //!< most VMs are reachable, and all of these have just started

  bool operator==(const RateFleetView&) const = default;
};

/** Whether this node has no contact with more than half of the known VMs. */
inline bool IsMinority(const RateFleetView& aFleet)
{
  return 2 * aFleet.alive.size() <= aFleet.known && aFleet.known > 1;
}

} // namespace mustardwinch
