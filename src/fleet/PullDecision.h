#pragma once

#include "mustardwinch/Clock.h"
#include "store/StorePosition.h"

namespace mustardwinch {

/**
 * Decides when a node that is behind fetches a state from a peer.
 *
 * Load pattern: a change reaches all nodes within milliseconds through their own watches, and all
 * of them tell all others. Only a node whose watch brought nothing fetches, once, from its own
 * failure domain if that has it, since a configuration may be large and bytes between domains dear.
 */
class PullDecision
{
public:
  /**
   * Whether to fetch from the peer that has told its version now.
   *
   * @param aOwn version of this node, with the epoch if the store's revision numbers it
   * @param aNear the peer is in the same failure domain
   */
  bool ShouldPull(TimePoint aNow, StorePosition aOwn, StorePosition aTheirs, bool aNear);

private:
  bool mBehind = false;
  StorePosition mOwn;    //!< version that the node had when it learned that it is behind
  TimePoint mSince{};    //!< when the node learned that it is behind
  TimePoint mNextPull{}; //!< an earlier fetch has its time until then
};

} // namespace mustardwinch
