#pragma once

#include "mustardwinch/Address.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Who a node is. Taken from the settings, but for the incarnation, which grows at every start. */
struct VmIdentity
{
  std::string name; //!< unique name of the VM
  std::string failureDomain;
  std::string region;
  Address link;                  //!< TCP address for links; the same number for gossip over UDP
  std::uint64_t incarnation = 0; //!< microseconds since the epoch at the start of the process

  bool operator==(const VmIdentity&) const = default;
};

} // namespace mustardwinch
