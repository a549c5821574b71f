#pragma once

#include <cstdint>

namespace mustardwinch {

/** State of a member. At the same incarnation and refutation the higher number wins. */
enum class MemberState : std::uint8_t
{
  kAlive = 0,
  kSuspect = 1,
  kFailed = 2,
  kLeft = 3,
};

} // namespace mustardwinch
