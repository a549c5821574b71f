#pragma once

#include "membership/MemberUpdate.h"
#include "membership/MembershipAction.h"
#include "membership/RetransmitQueue.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/VmIdentity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Group membership and failure detection after SWIM: direct and indirect pings, suspicion and
 * refutation. Performs no I/O: consumes time, packets and a random seed, emits actions. Not
 * thread-safe.
 */
class Membership
{
public:
  static constexpr Milliseconds kProbePeriod{ 1'000 };
  static constexpr Milliseconds kDirectTimeout{ 300 };
  static constexpr std::size_t kIndirectProbes = 3;
  static constexpr Milliseconds kSuspicionBase{ 2'000 };
  static constexpr Milliseconds kSuspicionPerDoubling{ 1'000 };
  /** Factor on the suspicion timeout while few of this node's own probes are acknowledged. */
  static constexpr int kUnreliableViewFactor = 4;
  static constexpr Milliseconds kReconnectPeriod{ 5'000 };
  /** Reconnect period while no other member is live. */
  static constexpr Milliseconds kJoinPeriod{ 500 };
  static constexpr Seconds kLostRetention{ 24 * 3600 };
  static constexpr Milliseconds kPauseLimit{ 3'000 };
  /** Number of nodes that probe the same parent in the beacon tree of a failure domain. */
  static constexpr std::size_t kBeaconFanout = 6;
  static constexpr std::size_t kLeaveFanout = 12;

  using Actions = std::vector<MembershipAction>;

  Membership(VmIdentity aSelf, std::vector<Address> aSeeds, std::uint64_t aRandomSeed);

  /** Must be called about every 100 ms. */
  void Tick(TimePoint aNow, Actions& aActions);

  /** @param aMember name of the sender */
  void OnPing(const Address& aFrom,
              const std::string& aMember,
              std::uint64_t aSequence,
              Actions& aActions);

  /** @return time at which the acknowledged ping was sent; nullopt if the ping is unknown or timed
   * out */
  std::optional<TimePoint> OnAck(const std::string& aMember,
                                 std::uint64_t aSequence,
                                 TimePoint aNow,
                                 Actions& aActions);

  void OnPingRequest(const Address& aFrom,
                     const Address& aTarget,
                     const std::string& aMember,
                     std::uint64_t aSequence,
                     TimePoint aNow,
                     Actions& aActions);

  void OnUpdate(const MemberUpdate& aUpdate, TimePoint aNow, Actions& aActions);

  /** Starts a graceful leave: announces it at once; afterwards only responds to packets. */
  void Leave(Actions& aActions);

  /** Offers updates to piggyback until aTake returns false. A suspicion or failure of aTo itself
   * goes first, so that it can refute. */
  template<typename Take>
  void OfferUpdates(const std::string& aTo, Take&& aTake)
  {
    const auto it = mMembers.find(aTo);
    if (it != mMembers.end() && it->second.update.state != MemberState::kAlive) {
      aTake(it->second.update);
    }
    mQueue.Offer(mMembers.size(), aTake);
  }

  /** This node's own state, sent in every packet. */
  const MemberUpdate& Self() const { return mSelf; }

  /** The state of all known members, this node first; sent to a node that joins. */
  std::vector<MemberUpdate> All() const;

  /** Alive and suspect members, this node first. Invalidated by the next non-const call. */
  const std::vector<VmIdentity>& Live();

  /** Live members of this node's failure domain, in the order of WatcherElection. */
  const std::vector<VmIdentity>& DomainRank();

  /** Up to aCount different random live members, without this node and aExcept. */
  std::vector<VmIdentity> RandomLive(std::size_t aCount, const std::string& aExcept = {});

  /** The latest update of another member; null if the member is unknown. */
  const MemberUpdate* Find(const std::string& aMember) const;

  bool IsLive(const std::string& aMember) const;
  std::size_t LiveOthers() const { return mLiveOthers; }

  /** Number of failed members and of seeds that have not answered yet. */
  std::size_t Lost() const { return mSeeds.size() + mFailed.size(); }

  std::size_t QueuedUpdates() const { return mQueue.Size(); }

private:
  struct Member
  {
    MemberUpdate update;
    TimePoint changedAt;
  };

  struct Probe
  {
    std::uint64_t sequence = 0;
    std::string member;
    Address address;
    TimePoint sentAt;
    bool suspectOnTimeout = true; //!< a timeout makes the member suspect
    bool indirectSent = false;    //!< indirect probes were sent
  };

  struct Relay
  {
    std::uint64_t sequence = 0;
    Address requester;
    std::uint64_t requesterSequence = 0;
    TimePoint sentAt;
  };

  void ResetAfterPause(TimePoint aNow, Actions& aActions);
  void ExpireProbes(TimePoint aNow, Actions& aActions);
  void SendIndirect(Probe& aProbe, Actions& aActions);
  void FailSuspects(TimePoint aNow, Actions& aActions);
  void PurgeLost(TimePoint aNow);
  void StartProbe(const std::string& aMember,
                  const Address& aAddress,
                  bool aSuspectOnTimeout,
                  TimePoint aNow,
                  Actions& aActions);
  void ProbeNext(TimePoint aNow, Actions& aActions);
  void ProbeBeaconSource(TimePoint aNow, Actions& aActions);
  void Reconnect(TimePoint aNow, Actions& aActions);
  void Suspect(const std::string& aMember, TimePoint aNow, Actions& aActions);
  void Store(const MemberUpdate& aUpdate, TimePoint aNow, Actions& aActions);
  void OnUpdateOfSelf(const MemberUpdate& aUpdate, Actions& aActions);
  Duration SuspicionTime() const;
  void IndexState(const std::string& aMember, MemberState aState);
  void RefreshLive();
  static bool IsLiveState(MemberState aState) { return aState <= MemberState::kSuspect; }

  MemberUpdate mSelf;
  std::vector<Address> mSeeds; //!< seeds that have not answered yet
  std::mt19937_64 mRandom;
  std::map<std::string, Member> mMembers; //!< other members, lost ones included
  std::set<std::string> mSuspects;
  std::set<std::string> mFailed;
  std::size_t mLiveOthers = 0;
  bool mLiveChanged = true;      //!< since the two lists below were built
  std::vector<VmIdentity> mLive; //!< this node first
  std::vector<VmIdentity> mDomainRank;
  std::vector<std::string> mOrder; //!< shuffled names that are still to be probed in this round
  std::vector<Probe> mProbes;
  std::vector<Relay> mRelays;
  RetransmitQueue<MemberUpdate> mQueue;
  std::uint64_t mSequence = 0;
  TimePoint mLastTick{};
  TimePoint mNextProbe{};
  TimePoint mNextReconnect{};
  double mAnsweredShare = 1.0; //!< moving average of the share of answered probes
  bool mLeaving = false;
};

} // namespace mustardwinch
