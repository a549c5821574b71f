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
 * Enforces the rates of organisations on a node: owns slices by lease, answers grant requests of
 * other ingresses, and provides the RateLimiter of this ingress. Thread-safe.
 *
 * Lock order: mStepMutex, then mMutex, then the mutex of the RateLimiter. Platform calls are made
 * under mStepMutex only; messages are sent under no lock but mStepMutex.
 */
class RateAgent
{
public:
  using ReplyFn = std::function<void(Result<std::string>)>;
  /** Same contract as PeerLinks::Request. */
  using SendFn =
    std::function<void(const Address&, PeerMessage, std::string, Milliseconds, ReplyFn)>;
  /** Returns the live members, including this node. */
  using MembersFn = std::function<std::vector<VmIdentity>()>;

  /** Returns null for invalid options. The clock and the configuration must outlive the agent. */
  static std::unique_ptr<RateAgent> Make(const Clock& aClock,
                                         const ConfigSource& aConfig,
                                         RateAgentOptions aOptions,
                                         LeaseStore aStore,
                                         SendFn aSend,
                                         MembersFn aMembers);

  /** Stops the threads. No reply may arrive afterwards, so stop the links first. */
  ~RateAgent();

  /** Handles kGrantRequest and kGrantReturn from other nodes on these links. */
  void Attach(PeerLinks& aLinks);

  /** Handles one message from a peer; replies synchronously. */
  void Handle(const std::string& aPayload, const ReplyFn& aReply);

  /** Starts the threads that maintain leases and return idle tokens. */
  void Start();

  /** Call when a member joined, left, died or restarted. Cheap. */
  void OnMemberChange();

  /**
   * Planned stop: releases all leases with their levels, so that tokens are neither lost nor
   * duplicated. Call it when this node admits no more requests. Blocks until done or until the
   * deadline has passed; leases not released by then expire. This node owns nothing afterwards.
   */
  void Release(TimePoint aDeadline);

  /** Stops the threads without releasing leases. */
  void Stop();

  /** One iteration of the control thread; public for tests with a paused clock. */
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
  void NoteHistory();
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
  std::vector<VmIdentity> mPlacedMembers; //!< members that mPlacement was computed from, by address
  SlicePlacement mPlacement;
  std::map<Address, std::uint64_t> mIncarnations; //!< highest seen per address
  std::map<Address, TimePoint> mLiveSince;
  std::map<LeaseHolder, bool> mDeclaredLost;
  std::map<SliceId, std::unique_ptr<SliceOwner>> mOwners;
  std::map<SliceId, Address> mHints; //!< holders that are not the preferred owners
  std::map<SliceId, SliceStatus::Term> mReportedTerms;
  std::uint64_t mPlatformCalls = 0;
  std::optional<std::uint64_t> mEpoch;    //!< of the platform's history, as last told
  std::optional<TimePoint> mHistorySince; //!< when a later epoch than before was told

  RateLimiter mLimiter;
  std::vector<std::thread> mThreads;
};

} // namespace mustardwinch
