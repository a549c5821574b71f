#pragma once

#include "limits/LeaseHolder.h"

#include <functional>

namespace mustardwinch {

/** What a node knows from membership and operators when it decides on a lease. */
struct LeaseContext
{
  bool preferred = false;                               //!< this node should hold the lease
  std::function<bool(const LeaseHolder&)> isTerminated; //!< the process certainly runs no more
};

} // namespace mustardwinch
