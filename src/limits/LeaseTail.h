#pragma once

#include "limits/LeaseHolder.h"
#include "limits/ShareMask.h"
#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** The share that a former holder may still grant, since it is not known to have stopped. */
struct LeaseTail
{
  LeaseHolder holder;
  ShareMask share;
  Milliseconds remaining{ 0 }; //!< counted from when the reader first saw this version of the lease

  bool operator==(const LeaseTail&) const = default;
};

} // namespace mustardwinch
