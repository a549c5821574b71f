#pragma once

#include "gate/ColdRamp.h"
#include "gate/LatencyInflation.h"
#include "health/AttemptResult.h"
#include "mustardwinch/Clock.h"

#include <cstdint>

namespace mustardwinch {

/**
 * Limits the concurrent requests of one upstream to the lesser of the ramp since its cold start and
 * an additive-increase, multiplicative-decrease limit. Rising latency, refused connections or shed
 * requests show that an upstream has become cold unannounced; the ramp then restarts. Not thread
 * safe.
 */
class ConcurrencyLimit
{
public:
  enum class Mode : std::uint8_t
  {
    kRampAndAdaptive,
    kRampOnly,
    kAdaptiveOnly,
    kNone,
  };

  ConcurrencyLimit(std::uint32_t aSlots,
                   Duration aRamp,
                   TimePoint aNow,
                   Mode aMode = Mode::kRampAndAdaptive);

  /** Changes the number of slots and the ramp length without restarting the ramp. */
  void Resize(std::uint32_t aSlots, Duration aRamp);

  /** Restarts the ramp for a cold start: the limit drops to 1. */
  void Restart(TimePoint aNow);

  void OnResult(const AttemptResult& aResult, TimePoint aNow);

  /** Maximum number of concurrent requests, at least 1. */
  std::uint32_t Limit(TimePoint aNow) const;

  /** True until the ramp has ended. */
  bool IsCold(TimePoint aNow) const { return !mRamp.IsOver(aNow); }

private:
  bool UsesRamp() const { return mMode == Mode::kRampAndAdaptive || mMode == Mode::kRampOnly; }
  bool IsAdaptive() const
  {
    return mMode == Mode::kRampAndAdaptive || mMode == Mode::kAdaptiveOnly;
  }
  void OnOverloadSignal(double aFactor, TimePoint aNow);
  void OnGoodResponse();

  std::uint32_t mSlots;
  Duration mRampLength;
  Mode mMode;
  ColdRamp mRamp;
  double mAdaptiveLimit;
  LatencyInflation mInflation;
  int mConsecutiveSignals = 0;
  TimePoint mLastDecrease{};
};

} // namespace mustardwinch
