#include "sidecar/KeyFreshness.h"

#include "store/RewriteTime.h"

#include <algorithm>

namespace mustardwinch {
namespace {

// Shares of the bound.

/** The rest covers differences between the clock rates of VMs. */
constexpr double kAcceptShare = 0.95;

/** Leaves time to ask several peers, and then the store. */
constexpr double kAskPeersShare = 0.36;
constexpr double kAskStoreShare = 0.5;

/** An answer confirms as of its request, so the age at the next answer is twice the wait. */
constexpr double kWatchWaitShare = 0.16;

} // namespace

void KeyFreshness::OnHistoryReplaced(TimePoint aNow)
{
  mLackingUntil = aNow + kRewriteTime;
}

void KeyFreshness::Confirm(TimePoint aAsOf)
{
  if (mLackingUntil && aAsOf < *mLackingUntil) {
    return;
  }
  mConfirmedAt = std::max(mConfirmedAt.value_or(aAsOf), aAsOf);
}

bool KeyFreshness::MayAcceptKeys(TimePoint aNow) const
{
  return !mSettings.strict || !IsOlderThan(aNow, kAcceptShare);
}

bool KeyFreshness::ShouldAskPeers(TimePoint aNow) const
{
  return mSettings.strict && IsOlderThan(aNow, kAskPeersShare);
}

bool KeyFreshness::ShouldAskStore(TimePoint aNow) const
{
  return mSettings.strict && IsOlderThan(aNow, kAskStoreShare);
}

Milliseconds KeyFreshness::WatchWait() const
{
  return std::chrono::duration_cast<Milliseconds>(mSettings.bound * kWatchWaitShare);
}

bool KeyFreshness::IsOlderThan(TimePoint aNow, double aShareOfBound) const
{
  return !mConfirmedAt || aNow - *mConfirmedAt > mSettings.bound * aShareOfBound;
}

} // namespace mustardwinch
