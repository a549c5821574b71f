#pragma once

#include "mustardwinch/Address.h"

#include <string>

namespace mustardwinch {

/** Marks an upstream as leaving: it gets no new work. Resource kind "leaving". */
struct LeavingUpstream
{
  std::string name; //!< "a.b.c.d:port" of the upstream
  Address upstream;

  bool operator==(const LeavingUpstream&) const = default;
};

} // namespace mustardwinch
