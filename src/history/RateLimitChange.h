#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** The rate and burst of an organisation from a time on. */
struct RateLimitChange
{
  TimePoint from;
  double ratePerSecond = 0;
  double burst = 0;

  bool operator==(const RateLimitChange&) const = default;
};

} // namespace mustardwinch
