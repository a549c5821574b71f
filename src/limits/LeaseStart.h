#pragma once

#include "limits/CarriedLevel.h"

#include <vector>

namespace mustardwinch {

/** What a new holder begins with. */
struct LeaseStart
{
  std::vector<CarriedLevel> levels; //!< left by a graceful release; 0 for all others
  bool reserveFullBurst = false;    //!< any grant of the old holder may still be out

  bool operator==(const LeaseStart&) const = default;
};

} // namespace mustardwinch
