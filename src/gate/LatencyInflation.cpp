#include "gate/LatencyInflation.h"

#include <algorithm>
#include <cmath>

namespace mustardwinch {
namespace {

constexpr int kMinSamples = 30;
constexpr double kRecentGain = 0.15;
constexpr double kBaselineGain = 0.02;
constexpr double kLogInflationThreshold = 1.1; // natural logarithm of a factor of three
constexpr double kMinLatencyNs = 2e6;          // ratios of shorter latencies mean little

} // namespace

void LatencyInflation::Add(Duration aFirstByte)
{
  const double sample = std::log(std::max(kMinLatencyNs, static_cast<double>(aFirstByte.count())));
  ++mSamples;
  if (mSamples <= kMinSamples) {
    mBaseline += (sample - mBaseline) / mSamples;
    mRecent = mBaseline;
    return;
  }
  mRecent += kRecentGain * (sample - mRecent);
  mBaseline += kBaselineGain * (std::min(sample, mBaseline + kLogInflationThreshold) - mBaseline);
}

bool LatencyInflation::IsInflated() const
{
  return mSamples > kMinSamples && mRecent - mBaseline > kLogInflationThreshold;
}

} // namespace mustardwinch
