#pragma once

#include <cstdint>

namespace mustardwinch {

/** From a time on, and until just before another. */
struct TimeInterval
{
  std::int64_t fromUs = 0;
  std::int64_t untilUs = 0;

  bool Contains(std::int64_t aTimeUs) const { return aTimeUs >= fromUs && aTimeUs < untilUs; }

  bool operator==(const TimeInterval&) const = default;
};

} // namespace mustardwinch
