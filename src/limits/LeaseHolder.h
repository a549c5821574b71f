#pragma once

#include "mustardwinch/Address.h"

#include <compare>
#include <cstdint>
#include <string>

namespace mustardwinch {

/** A process that holds or held a lease. A restarted process is a different holder. */
struct LeaseHolder
{
  std::string name; //!< VM name
  Address link;
  std::uint64_t incarnation = 0;

  auto operator<=>(const LeaseHolder&) const = default;
};

} // namespace mustardwinch
