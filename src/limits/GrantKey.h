#pragma once

#include "mustardwinch/Address.h"

#include <compare>
#include <cstdint>

namespace mustardwinch {

/** Identifies a grant by the requesting process and the sequence number of its request. */
struct GrantKey
{
  Address ingress;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const GrantKey&) const = default;
};

} // namespace mustardwinch
