#pragma once

#include "mustardwinch/Clock.h"
#include "sidecar/UpstreamAnnouncement.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

namespace mustardwinch {

/**
 * State of the upstream beside the gate, derived from announcements that may be delayed, duplicated
 * or sent by an earlier process at the same address.
 *
 * Load pattern: an upstream is drained or replaced while earlier announcements are still in
 * transit, and the node restarts in between. A leaving upstream never becomes available again under
 * the same instance and process start.
 */
class UpstreamState
{
public:
  enum class Change : std::uint8_t
  {
    kNone,
    kStale, //!< an outdated announcement; nothing changed
    kUpdated,
    kReplaced, //!< another process uses the address now
    kLeaving,
  };

  Change Announce(const UpstreamAnnouncement& aAnnouncement, TimePoint aNow);

  /** The upstream announced that it exits. @param aProcessStartMs its start time; 0 if unknown */
  Change Leave(const std::string& aInstance, std::uint64_t aProcessStartMs);

  /** Another upstream answered at the address. Nothing is sent until it announces itself. */
  void OnWrongInstance();

  /** The upstream told otherwise than by an announcement that it is cold. */
  void SetCold(TimePoint aUntil) { mColdUntil = std::max(mColdUntil, aUntil); }

  /** Marks an instance as leaving, as reported by a peer. */
  void RememberLeaving(const std::string& aInstance);

  bool IsAvailable() const { return mKnown && !mLeaving && !mWrongInstance; }
  bool IsKnown() const { return mKnown; }
  bool IsCold(TimePoint aNow) const { return aNow < mColdUntil; }

  /** The last announcement; valid if IsKnown(). */
  const UpstreamAnnouncement& Current() const { return mCurrent; }

  /** The instance that is leaving or was the last to leave; empty if there is none. */
  std::string LeavingInstance() const;

private:
  /** An instance that announced its exit, to this process or, as peers report, to an earlier
   * process of the node. */
  struct DepartedInstance
  {
    std::string instance;
    std::uint64_t processStartMs = 0; //!< later starts have not left; 0: unknown, all have
  };

  void Remember(const std::string& aInstance, std::uint64_t aProcessStartMs);
  bool HasDeparted(const UpstreamAnnouncement& aAnnouncement) const;

  UpstreamAnnouncement mCurrent;
  TimePoint mColdUntil{};
  std::deque<DepartedInstance> mDeparted; //!< most recent last
  bool mKnown = false;
  bool mLeaving = false;
  bool mWrongInstance = false;
};

} // namespace mustardwinch
