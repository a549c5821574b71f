#include "fleet/PullDecision.h"

namespace mustardwinch {
namespace {

/** The node's own watch is answered within this time after that of a peer. */
constexpr Milliseconds kNearDelay{ 250 };

/** A peer of the own failure domain has had time to hand a large configuration over; a change must
 *  be in force after two seconds. */
constexpr Milliseconds kFarDelay{ 800 };

/** A node that knows nothing is not ready, so it asks sooner. */
constexpr Milliseconds kFarDelayAtStart{ 700 };

/** A fetch that brought nothing is repeated, from another peer. */
constexpr Milliseconds kPullGap{ 600 };

} // namespace

bool PullDecision::ShouldPull(TimePoint aNow, StorePosition aOwn, StorePosition aTheirs, bool aNear)
{
  if (aTheirs <= aOwn) {
    return false;
  }
  if (!mBehind || aOwn != mOwn) {
    mBehind = true;
    mOwn = aOwn;
    mSince = aNow;
  }
  const Milliseconds far = aOwn == StorePosition{} ? kFarDelayAtStart : kFarDelay;
  if (aNow - mSince < (aNear ? kNearDelay : far) || aNow < mNextPull) {
    return false;
  }
  mNextPull = aNow + kPullGap;
  return true;
}

} // namespace mustardwinch
