#pragma once

#include "limits/RateCounters.h"
#include "limits/RateLayout.h"
#include "limits/SliceStatus.h"

#include <vector>

namespace mustardwinch {

/** Rate limiting status of a node, for operators. */
struct RateStatus
{
  RateLayout layout;
  bool layoutAgreed = false; //!< the platform's layout matches; until then this node owns no slice
  std::vector<SliceStatus> slices; //!< slices that this node holds or should hold
  RateCounters counters;
  std::uint64_t platformCalls = 0;

  bool operator==(const RateStatus&) const = default;
};

} // namespace mustardwinch
