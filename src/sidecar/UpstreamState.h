#pragma once

#include "mustardwinch/Clock.h"
#include "sidecar/UpstreamAnnouncement.h"

#include <cstdint>
#include <deque>
#include <string>

namespace mustardwinch {

/**
 * What the gate holds of the upstream beside it, from announcements that may be late, repeated or
 * of an earlier process at the same address.
 *
 * Load pattern: an upstream is drained or replaced while announcements of before are still on
 * their way, and the node restarts in between. A leaving upstream never becomes available again
 * under the same instance and start.
 */
class UpstreamState
{
public:
  enum class Change : std::uint8_t
  {
    kNone,
    kStale, //!< an announcement of before; nothing changed
    kUpdated,
    kReplaced, //!< another process answers at the address now
    kLeaving,
  };

  Change Announce(const UpstreamAnnouncement& aAnnouncement, TimePoint aNow);

  /** The upstream says that it exits. @param aProcessStartMs its start; 0: not said */
  Change Leave(const std::string& aInstance, std::uint64_t aProcessStartMs);

  /** Another upstream answered at the address; nothing is sent until it announces itself. */
  void OnWrongInstance();

  /** A peer remembers that this instance leaves. */
  void RememberLeaving(const std::string& aInstance);

  bool IsAvailable() const { return mKnown && !mLeaving && !mWrongInstance; }
  bool IsKnown() const { return mKnown; }
  bool IsCold(TimePoint aNow) const { return aNow < mColdUntil; }

  /** The last announcement; valid if IsKnown(). */
  const UpstreamAnnouncement& Current() const { return mCurrent; }

  /** The instance that leaves or last left; empty if none did. */
  std::string LeavingInstance() const;

private:
  /** An instance that said it leaves, at this node or, as peers remember, at an earlier process. */
  struct DepartedInstance
  {
    std::string instance;
    std::uint64_t processStartMs =
      0; //!< a later start of the same instance is not meant; 0: not known
  };

  void Remember(const std::string& aInstance, std::uint64_t aProcessStartMs);
  bool HasDeparted(const UpstreamAnnouncement& aAnnouncement) const;

  UpstreamAnnouncement mCurrent;
  TimePoint mColdUntil{};
  std::deque<DepartedInstance> mDeparted; //!< the latest last
  bool mKnown = false;
  bool mLeaving = false;
  bool mWrongInstance = false;
};

} // namespace mustardwinch
