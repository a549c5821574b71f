#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/**
 * Detects that the latency of one upstream has risen far above its own recent level. Works on
 * logarithms, so that the heavy tail of healthy responses does not count as a rise. Not thread
 * safe.
 */
class LatencyInflation
{
public:
  void Add(Duration aFirstByte);

  /** True while the last few responses are several times slower than the baseline. */
  bool IsInflated() const;

private:
  int mSamples = 0;
  double mRecent = 0;   //!< moving average of log latency over a few responses
  double mBaseline = 0; //!< the same over many responses
};

} // namespace mustardwinch
