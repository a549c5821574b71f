#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** Overruns of the organisations' rates that operators tolerate. */
struct RateSettings
{
  double slack = 0;   //!< requests per organisation and window beyond rate and burst
  double overrun = 0; //!< the same, as a fraction of what rate and burst allow in a window
  Milliseconds window{ 5'000 };

  bool operator==(const RateSettings&) const = default;
};

} // namespace mustardwinch
