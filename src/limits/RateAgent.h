#pragma once

#include "config/ConfigSource.h"
#include "limits/GrantCodec.h"
#include "limits/LeaseStore.h"
#include "limits/RateAgentOptions.h"
#include "limits/RateLimiter.h"
#include "limits/RateStatus.h"
#include "limits/SliceOwner.h"
#include "limits/SlicePlacement.h"
#include "link/PeerMessage.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/VmIdentity.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace mustardwinch {

class PeerLinks;

/**
 * The part of a node that holds organisations to their rates: owns slices by lease, answers other
 * ingresses, and gives this ingress its RateLimiter. Safe for several threads.
 *
 * Lock order: mStepMutex, then mMutex, then the RateLimiter's own. Platform calls are made under
 * mStepMutex only; messages are sent under no lock but mStepMutex.
 */
class RateAgent
{
public:
  using ReplyFn = std::function<void(Result<std::string>)>;
  /** As PeerLinks::Request. */
  using SendFn =
    std::function<void(const Address&, PeerMessage, std::string, Milliseconds, ReplyFn)>;
  /** The live members, this node among them. */
  using MembersFn = std::function<std::vector<VmIdentity>()>;

  /** Null if the options make no sense. The clock and the configuration must outlive the agent. */
  static std::unique_ptr<RateAgent> Make(const Clock& aClock,
                                         const ConfigSource& aConfig,
                                         RateAgentOptions aOptions,
                                         LeaseStore aStore,
                                         SendFn aSend,
                                         MembersFn aMembers);

  /** Stops the threads; no answer may arrive afterwards, so the links stop before. */
  ~RateAgent();

  /** Answers kGrantRequest and kGrantReturn of other nodes over these links. */
  void Attach(PeerLinks& aLinks);

  /** Handles one message of a peer; answers at once. */
  void Handle(const std::string& aPayload, const ReplyFn& aReply);

  /** Starts the threads that keep leases and give idle tokens back. */
  void Start();

  /** Membership changed: a member came, left, died or restarted. Cheap. */
  void OnMemberChange();

  /**
   * Planned stop: releases all leases with their levels, so that no token is lost and none is
   * restored. Call it when this node admits no more requests. Blocks until it is done or the
   * deadline has passed; what is not released then lapses. Owns nothing afterwards.
   */
  void Release(TimePoint aDeadline);

  /** Stops the threads and keeps the leases as they are. */
  void Stop();

  /** One round of what the control thread does; public for tests with a paused clock. */
  void Step();

  RateLimiter& Limiter() { return mLimiter; }
  RateStatus Status();

private:
  using SliceId = std::pair<std::uint32_t, std::uint32_t>; //!< shard, slice

  RateAgent(const Clock& aClock,
            const ConfigSource& aConfig,
            RateAgentOptions aOptions,
            LeaseStore aStore,
            SendFn aSend,
            MembersFn aMembers);

  void AgreeLayout();
  void RefreshMembers();
  void RefreshConfig();
  void RefreshOwners();
  void StepOwner(const SliceId& aId);
  void Perform(const SliceId& aId, const LeaseAction& aAction);
  void Report(const SliceOwner& aOwner, LeaseChange aChange);
  void ReturnSlices();
  bool ShouldReturnSlice(const SliceOwner& aOwner) const;
  void NotifyPreferred(const SliceId& aId);
  void CheckDeclaredLost();
  bool IsPreferred(const SliceId& aId) const;
  bool IsLive(const LeaseHolder& aHolder) const;
  bool IsTerminated(const LeaseHolder& aHolder) const;
  LeaseContext ContextFor(const SliceId& aId) const;
  SliceOwner* FindOwner(const SliceId& aId);
  SliceId SliceOf(const std::string& aOrganisation, std::uint32_t aSlice) const;

  GrantReply Decide(const GrantRequest& aRequest);
  void Accept(const GrantSettlement& aSettlement);
  void Accept(const LeaseNotice& aNotice);
  void RequestGrant(const GrantRequest& aRequest,
                    const RateLimiter::ReplyFn& aReply,
                    unsigned aRedirects);
  void OnGrantAnswer(const GrantRequest& aRequest,
                     const RateLimiter::ReplyFn& aReply,
                     unsigned aRedirects,
                     const Address& aTarget,
                     const Result<std::string>& aAnswer);
  void ForgetHint(const GrantRequest& aRequest, const Address& aTarget);
  void SendSettlement(const GrantSettlement& aSettlement);
  Address TargetOf(const SliceId& aId) const;
  void RunControlLoop();
  void RunMaintenanceLoop();
  bool WaitFor(Milliseconds aSpan, bool aWakeOnNotice);

  const Clock& mClock;
  const ConfigSource& mConfig;
  const RateAgentOptions mOptions;
  const LeaseHolder mSelf;
  LeaseStore mStore;
  SendFn mSend;
  MembersFn mMembers;

  std::mutex mStepMutex;
  std::shared_ptr<const ConfigSnapshot> mAppliedConfig;
  TimePoint mMembersAt;
  TimePoint mLostCheckAt;
  TimePoint mLayoutAt;

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mReleasing = false;
  bool mMembersChanged = true;
  bool mLeaseNoticeReceived = false; //!< a peer has released a lease to this node
  bool mLayoutAgreed = false;
  std::vector<VmIdentity> mPlacedMembers; //!< members that mPlacement was made from, by address
  SlicePlacement mPlacement;
  std::map<Address, std::uint64_t> mIncarnations; //!< highest seen at an address
  std::map<Address, TimePoint> mLiveSince;
  std::map<LeaseHolder, bool> mDeclaredLost;
  std::map<SliceId, std::unique_ptr<SliceOwner>> mOwners;
  std::map<SliceId, Address> mHints; //!< holders that are not the preferred owners
  std::map<SliceId, SliceStatus::Term> mReportedTerms;
  std::uint64_t mPlatformCalls = 0;

  RateLimiter mLimiter;
  std::vector<std::thread> mThreads;
};

} // namespace mustardwinch
