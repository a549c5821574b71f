#pragma once

#include "mustardwinch/Address.h"
#include "store/StorePosition.h"

#include <string>

namespace mustardwinch {

/** A node of the fleet, as it wrote itself into the platform's store. */
struct MemberInfo
{
  std::string vm;
  Address link;
  std::string failureDomain;
  std::string service; //!< of the upstream beside the node
  StorePosition at;    //!< of its entry in the store; none if the node is known from a peer only

  bool IsStored() const { return at != StorePosition{}; }

  bool operator==(const MemberInfo&) const = default;
};

} // namespace mustardwinch
