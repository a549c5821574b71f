#pragma once

#include "mustardwinch/Clock.h"

#include <cstddef>

namespace mustardwinch {

/** The window in which an organisation was admitted most beyond its rate and burst. */
struct RateViolation
{
  TimePoint from;
  TimePoint to;
  std::size_t admitted = 0;
  double allowed = 0;

  bool operator==(const RateViolation&) const = default;
};

} // namespace mustardwinch
