#pragma once

#include "limits/CarriedLevel.h"

#include <vector>

namespace mustardwinch {

/** Initial bucket state of a new lease holder. */
struct LeaseStart
{
  std::vector<CarriedLevel> levels; //!< from a graceful release; other organisations start at 0
  bool reserveFullBurst =
    false; //!< grants of the previous holder may be outstanding, up to the burst

  bool operator==(const LeaseStart&) const = default;
};

} // namespace mustardwinch
