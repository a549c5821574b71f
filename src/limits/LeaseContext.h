#pragma once

#include "limits/LeaseHolder.h"

#include <functional>

namespace mustardwinch {

/** Input to lease decisions that comes from membership and operators. */
struct LeaseContext
{
  bool preferred = false; //!< this node is the preferred owner
  std::function<bool(const LeaseHolder&)>
    isTerminated; //!< the process is known not to run any more
};

} // namespace mustardwinch
