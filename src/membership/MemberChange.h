#pragma once

#include "membership/MemberState.h"
#include "mustardwinch/VmIdentity.h"

#include <cstdint>
#include <optional>

namespace mustardwinch {

/** A membership change that other components can act on. */
struct MemberChange
{
  VmIdentity identity;
  MemberState state = MemberState::kAlive;
  /** Incarnation of the process that this one replaced at the same address; the replaced process
   * has certainly ended. */
  std::optional<std::uint64_t> replaced;

  bool operator==(const MemberChange&) const = default;
};

} // namespace mustardwinch
