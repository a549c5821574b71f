#pragma once

#include "membership/MemberState.h"
#include "mustardwinch/VmIdentity.h"

#include <cstdint>
#include <tuple>

namespace mustardwinch {

/** The state of a member as reported by a node. */
struct MemberUpdate
{
  VmIdentity identity;
  /** Raised by the member itself to refute a suspicion. The incarnation is unchanged, so that a new
   * incarnation always means a new process. */
  std::uint32_t refutation = 0;
  MemberState state = MemberState::kAlive;

  bool operator==(const MemberUpdate&) const = default;

  /** Whether this update takes precedence over aOther, an update of the same member. */
  bool Supersedes(const MemberUpdate& aOther) const
  {
    const auto rank = [](const MemberUpdate& aUpdate) {
      return std::tuple(aUpdate.identity.incarnation, aUpdate.refutation, aUpdate.state);
    };
    return rank(*this) > rank(aOther);
  }
};

} // namespace mustardwinch
