#include "sidecar/Gate.h"

namespace mustardwinch {
namespace {

/** An upstream is slow in its first seconds, also if it is not cold. */
constexpr Milliseconds kSettlingTime{ 1'500 };

/** Starts that are left under the bound when the upstream is asked whether it is still warm. The
 * answer takes the time of a short request, in which a busy upstream starts about so many. */
constexpr double kWarmthProbeMargin = 4;

} // namespace

// Whether the upstream is warm, and how many requests a second it bears meanwhile.

bool Gate::IsWarm() const
{
  const TimePoint now = mClock.Now();
  return IsAvailable() && !mState.IsCold(now) && now - mUpstreamSince >= kSettlingTime;
}

double Gate::StartsPerSecond(const std::string& aService) const
{
  const double coldCapacity = mDelegate.coldRequestsPerSecond(aService).value_or(0);
  return mCold.StartsPerSecond(coldCapacity, mState.IsCold(mClock.Now()));
}

std::string Gate::HealthPath(const std::string& aService) const
{
  return mDelegate.healthPath ? mDelegate.healthPath(aService) : std::string();
}

void Gate::ProbeWarmthIfNeeded()
{
  const TimePoint now = mClock.Now();
  const std::string& service = mState.Current().service;
  const double bound = StartsPerSecond(service);
  if (bound <= 0 || !mState.IsAvailable() || mState.IsCold(now) ||
      mStarts.Remaining(now, bound) > kWarmthProbeMargin) {
    return;
  }
  const std::string path = HealthPath(service);
  if (!path.empty()) {
    mWarmth.Ask(mState.Current().address, path);
  }
}

void Gate::OnWarmth(const WarmthProbe::Reply& aReply)
{
  if (!mState.IsKnown() || aReply.instance != mState.Current().instance) {
    return;
  }
  if (aReply.coldRemaining.count() > 0) {
    mState.SetCold(mClock.Now() + aReply.coldRemaining);
    mStarts.OnCold();
    return;
  }
  mStarts.OnWarm(aReply.asked);
  StartQueued();
}

} // namespace mustardwinch
