#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>

namespace mustardwinch {

/** Concurrency limit that rises linearly from 1 to all slots after a cold start. */
class ColdRamp
{
public:
  ColdRamp(TimePoint aStart, Duration aLength)
    : mStart(aStart)
    , mLength(aLength)
  {
  }

  /** Maximum number of concurrent requests, at least 1. */
  double Limit(std::uint32_t aSlots, TimePoint aNow) const;

  bool IsOver(TimePoint aNow) const { return aNow - mStart >= mLength; }

private:
  TimePoint mStart;
  Duration mLength;
};

} // namespace mustardwinch
