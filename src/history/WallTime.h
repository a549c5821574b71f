#pragma once

#include <chrono>
#include <cstdint>

namespace mustardwinch {

/** Microseconds since 1970 of the system clock, which the processes of one host share. */
inline std::int64_t WallTimeUs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace mustardwinch
