#pragma once

#include "membership/FreshnessBeacon.h"
#include "membership/FreshnessView.h"
#include "membership/ProbeOutcome.h"
#include "mustardwinch/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Distinguishes a confirmed configuration, an unreachable platform and an isolated node.
 *
 * Only beacons in acknowledgements of this node's own pings count, and their age is measured from
 * the time at which the ping was sent. Queueing delays and the clocks of other VMs can therefore
 * make a beacon look older than it is, but never younger.
 */
class FreshnessTracker
{
public:
  /** Maximum age of a platform contact that confirms a configuration. */
  static constexpr Milliseconds kConfirmBound{ 6'000 };
  /** Maximum age of a probe that counts as evidence that the fleet is reachable. */
  static constexpr Milliseconds kProbeBound{ 6'000 };
  static constexpr std::size_t kDigestHistory = 8;
  static constexpr std::size_t kMaxBeaconsSent = 2;
  static constexpr std::size_t kMaxContacts = 4;

  /** Records that this node's configuration now has aDigest. */
  void OnDigest(std::uint64_t aDigest);

  /** Handles a beacon in the acknowledgement of a ping that was sent at aPingSentAt. */
  void OnBeacon(const FreshnessBeacon& aBeacon, TimePoint aPingSentAt);

  /** Records that this node, as a watcher, matched the platform's configuration at aContact. */
  void OnOwnContact(TimePoint aContact, std::uint64_t aDigest, std::uint64_t aRevision);

  void OnProbe(const ProbeOutcome& aOutcome);

  /** Records that all records have been loaded once, from a peer or from the platform. */
  void OnLoaded() { mLoaded = true; }

  /** @param aLive live members without this node; @param aLost failed members and unanswered seeds
   */
  void Tick(TimePoint aNow, std::size_t aLive, std::size_t aLost);

  const FreshnessView& View() const { return mView; }

  /** Beacons to send: the most recent, and the most recent with this node's own digest. */
  std::vector<FreshnessBeacon> Beacons(TimePoint aNow) const;

private:
  struct Contact
  {
    TimePoint at;
    std::uint64_t digest = 0;
    std::uint64_t revision = 0;
  };

  void AddContact(const Contact& aContact);
  bool WasHeld(std::uint64_t aDigest) const;
  TimePoint ReachableUntil(TimePoint aNow, std::size_t aLive, std::size_t aLost) const;

  std::deque<std::uint64_t> mDigests; //!< this node's, latest first
  std::vector<Contact> mContacts;     //!< one per digest, most recent first
  std::map<std::string, ProbeOutcome> mProbes;
  TimePoint mConfirmedAt{}; //!< TimePoint(): never
  bool mLoaded = false;
  bool mEverConfirmed = false;
  FreshnessView mView;
};

} // namespace mustardwinch
