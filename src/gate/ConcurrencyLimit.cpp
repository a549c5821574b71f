#include "gate/ConcurrencyLimit.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr double kRefusalFactor = 0.5;
constexpr double kInflationFactor = 0.7;
constexpr int kSignalsBeforeRestart = 2;
constexpr Milliseconds kMinDecreaseInterval{ 50 };

/**
 * True if the upstream accepted no connection, failed on a new connection before it responded, or
 * shed the request.
 */
bool IsOverloadRefusal(const AttemptResult& aResult)
{
  switch (aResult.code) {
    case ResultCode::kGateConnectFailed:
    case ResultCode::kGateShed:
      return true;
    case ResultCode::kUpstreamFailed:
      return aResult.status == 0 && !aResult.pooledConnection;
    default:
      return false;
  }
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t aSlots, Duration aRamp, TimePoint aNow, Mode aMode)
  : mSlots(std::max<std::uint32_t>(1, aSlots))
  , mRampLength(aRamp)
  , mMode(aMode)
  , mRamp(aNow, aRamp)
  , mAdaptiveLimit(1)
{
}

void ConcurrencyLimit::Resize(std::uint32_t aSlots, Duration aRamp)
{
  mSlots = std::max<std::uint32_t>(1, aSlots);
  mRampLength = aRamp;
  mAdaptiveLimit = std::min<double>(mAdaptiveLimit, mSlots);
}

void ConcurrencyLimit::Restart(TimePoint aNow)
{
  mRamp = ColdRamp(aNow, mRampLength);
  mAdaptiveLimit = 1;
  mConsecutiveSignals = 0;
  mLastDecrease = aNow;
}

void ConcurrencyLimit::OnResult(const AttemptResult& aResult, TimePoint aNow)
{
  if (!IsAdaptive()) {
    return;
  }
  if (IsOverloadRefusal(aResult)) {
    OnOverloadSignal(kRefusalFactor, aNow);
    return;
  }
  if (aResult.code != ResultCode::kOk) {
    return;
  }
  mInflation.Add(aResult.firstByte);
  if (mInflation.IsInflated()) {
    OnOverloadSignal(kInflationFactor, aNow);
  } else {
    OnGoodResponse();
  }
}

void ConcurrencyLimit::OnOverloadSignal(double aFactor, TimePoint aNow)
{
  // Requests that were sent together report the same overload; only the first one counts.
  if (aNow - mLastDecrease < kMinDecreaseInterval) {
    return;
  }
  mLastDecrease = aNow;
  mAdaptiveLimit = std::max(1.0, mAdaptiveLimit * aFactor);
  ++mConsecutiveSignals;
  if (mConsecutiveSignals >= kSignalsBeforeRestart) {
    Restart(aNow);
  }
}

void ConcurrencyLimit::OnGoodResponse()
{
  mConsecutiveSignals = 0;
  mAdaptiveLimit = std::min<double>(mSlots, mAdaptiveLimit + 1 / mAdaptiveLimit);
}

std::uint32_t ConcurrencyLimit::Limit(TimePoint aNow) const
{
  double limit = mSlots;
  if (UsesRamp()) {
    limit = std::min(limit, mRamp.Limit(mSlots, aNow));
  }
  if (IsAdaptive()) {
    limit = std::min(limit, mAdaptiveLimit);
  }
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit));
}

} // namespace mustardwinch
