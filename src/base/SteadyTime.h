#pragma once

#include "mustardwinch/Clock.h"

#include <chrono>

namespace mustardwinch {

/**
 * The time of the system, for code that waits on sockets and condition variables, which know no
 * other. Decisions take their time from a Clock.
 */
inline TimePoint SteadyNow()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace mustardwinch
