#include "limits/RateAgent.h"

#include "mustardwinch/Event.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Milliseconds kControlInterval{ 100 };
constexpr Milliseconds kMaintenanceInterval{ 50 };
constexpr Milliseconds kMembersInterval{ 1000 };
constexpr Milliseconds kLostCheckInterval{ 10'000 };
constexpr Milliseconds kLayoutRetryInterval{ 1000 };
constexpr Milliseconds kReleasePollInterval{ 5 };

/** A renewal no older than this shows that the platform is reachable. */
constexpr Milliseconds kMaxRenewalAge{ 500 };

/** Maximum platform calls for one lease per step, for example a read and an acquire. */
constexpr int kActionsPerStep = 4;

/** Maximum number of kNotOwner redirects that a request follows. */
constexpr unsigned kMaxRedirects = 2;

std::string LeaseName(std::uint32_t aShard, std::uint32_t aSlice)
{
  return "shard-" + std::to_string(aShard) + "-slice-" + std::to_string(aSlice);
}

std::map<std::uint32_t, std::vector<Organisation>> OrganisationsByShard(
  const ConfigSnapshot& aSnapshot,
  std::uint32_t aShards)
{
  std::map<std::uint32_t, std::vector<Organisation>> shards;
  for (const Resource& it : aSnapshot.Resources()) {
    if (const auto* organisation = std::get_if<Organisation>(&it)) {
      shards[ShardOf(organisation->name, aShards)].push_back(
        { organisation->name, {}, organisation->ratePerSecond, organisation->burst });
    }
  }
  return shards;
}

bool IsValid(const RateAgentOptions& aOptions)
{
  const LeaseTerms& terms = aOptions.terms;
  const bool layout = aOptions.layout.shards > 0 && aOptions.layout.slices > 0;
  const bool grants = terms.grantLifetime > Milliseconds(0);
  const bool spans = terms.shortTerm > 2 * terms.grantLifetime && terms.tailTerm >= terms.shortTerm;
  return layout && grants && spans && terms.HasValidShare() && aOptions.self.link.port != 0;
}

} // namespace

std::unique_ptr<RateAgent> RateAgent::Make(const Clock& aClock,
                                           const ConfigSource& aConfig,
                                           RateAgentOptions aOptions,
                                           LeaseStore aStore,
                                           SendFn aSend,
                                           MembersFn aMembers)
{
  if (!IsValid(aOptions)) {
    return nullptr;
  }
  return std::unique_ptr<RateAgent>(new RateAgent(aClock,
                                                  aConfig,
                                                  std::move(aOptions),
                                                  std::move(aStore),
                                                  std::move(aSend),
                                                  std::move(aMembers)));
}

RateAgent::RateAgent(const Clock& aClock,
                     const ConfigSource& aConfig,
                     RateAgentOptions aOptions,
                     LeaseStore aStore,
                     SendFn aSend,
                     MembersFn aMembers)
  : mClock(aClock)
  , mConfig(aConfig)
  , mOptions(std::move(aOptions))
  , mSelf{ mOptions.self.name, mOptions.self.link, mOptions.self.incarnation }
  , mStore(std::move(aStore))
  , mSend(std::move(aSend))
  , mMembers(std::move(aMembers))
  , mPlacement(mOptions.layout)
  , mLimiter(
      aClock,
      GrantCache::Options{ GrantKey{ mOptions.self.link, mOptions.self.incarnation, 0 },
                           mOptions.layout.slices,
                           mOptions.prefetchFromRate },
      [this](const GrantRequest& aRequest, const RateLimiter::ReplyFn& aReply) {
        RequestGrant(aRequest, aReply, 0);
      },
      [this](const GrantSettlement& aSettlement) { SendSettlement(aSettlement); })
{
}

RateAgent::~RateAgent()
{
  Stop();
}

void RateAgent::Start()
{
  mThreads.emplace_back([this] { RunControlLoop(); });
  mThreads.emplace_back([this] { RunMaintenanceLoop(); });
}

void RateAgent::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  for (std::thread& it : mThreads) {
    it.join();
  }
  mThreads.clear();
}

/** Waits for aSpan or, if aWakeOnNotice, a lease notice; false if the agent is stopping. */
bool RateAgent::WaitFor(Milliseconds aSpan, bool aWakeOnNotice)
{
  std::unique_lock lock(mMutex);
  mWake.wait_for(lock, aSpan, [&] { return mStopping || (aWakeOnNotice && mLeaseNoticeReceived); });
  mLeaseNoticeReceived = mLeaseNoticeReceived && !aWakeOnNotice;
  return !mStopping;
}

void RateAgent::RunControlLoop()
{
  do {
    Step();
  } while (WaitFor(kControlInterval, true));
}

void RateAgent::RunMaintenanceLoop()
{
  while (WaitFor(kMaintenanceInterval, false)) {
    mLimiter.RunMaintenance();
  }
}

void RateAgent::Step()
{
  const std::lock_guard step(mStepMutex);
  AgreeLayout();
  RefreshMembers();
  RefreshOwners();
  RefreshConfig();
  ReturnSlices();
  std::vector<SliceId> ids;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& [id, owner] : mOwners) {
      ids.push_back(id);
    }
  }
  for (const SliceId& it : ids) {
    StepOwner(it);
  }
  CheckDeclaredLost();
}

/** This node must not own any slice until it knows the fleet's layout from the platform. */
void RateAgent::AgreeLayout()
{
  const TimePoint now = mClock.Now();
  if (mLayoutAgreed || now < mLayoutAt) {
    return;
  }
  mLayoutAt = now + kLayoutRetryInterval;
  const auto layout = mStore.agreeLayout(mOptions.layout);
  const std::lock_guard lock(mMutex);
  ++mPlatformCalls;
  if (!layout) {
    return;
  }
  // A node with a different layout would split rates differently, so it acts only as an ingress.
  if (layout.Value() == mOptions.layout) {
    mLayoutAgreed = true;
  } else {
    LogEvent(LogLevel::kError,
             Event::kRateLayoutDiffers,
             { { "shards", std::to_string(layout.Value().shards) },
               { "slices", std::to_string(layout.Value().slices) } });
  }
}

void RateAgent::OnMemberChange()
{
  const std::lock_guard lock(mMutex);
  mMembersChanged = true;
}

void RateAgent::RefreshMembers()
{
  const TimePoint now = mClock.Now();
  {
    const std::lock_guard lock(mMutex);
    if (!mMembersChanged && now < mMembersAt + kMembersInterval) {
      return;
    }
    mMembersChanged = false;
  }
  mMembersAt = now;
  std::vector<VmIdentity> members = mMembers();
  const std::lock_guard lock(mMutex);
  std::map<Address, TimePoint> since;
  for (const VmIdentity& it : members) {
    std::uint64_t& incarnation = mIncarnations[it.link];
    const bool restarted = it.incarnation > incarnation;
    incarnation = std::max(incarnation, it.incarnation);
    const auto known = mLiveSince.find(it.link);
    since[it.link] = known == mLiveSince.end() || restarted ? now : known->second;
  }
  mLiveSince = std::move(since);
  if (mReleasing) {
    std::erase_if(members, [&](const VmIdentity& aIt) { return aIt.link == mSelf.link; });
  }
  std::sort(members.begin(), members.end(), [](const VmIdentity& aLeft, const VmIdentity& aRight) {
    return aLeft.link < aRight.link;
  });
  if (members != mPlacedMembers) {
    mPlacedMembers = members;
    mPlacement.SetMembers(std::move(members));
    for (auto& [id, owner] : mOwners) {
      owner->RequestReread(now);
    }
  }
}

/** Creates a SliceOwner for each preferred slice and removes those no longer needed. */
void RateAgent::RefreshOwners()
{
  const std::lock_guard lock(mMutex);
  if (!mLayoutAgreed) {
    return;
  }
  for (std::uint32_t shard = 0; shard < mOptions.layout.shards; ++shard) {
    for (std::uint32_t slice = 0; slice < mOptions.layout.slices; ++slice) {
      const SliceId id{ shard, slice };
      if (!IsPreferred(id) || mOwners.contains(id)) {
        continue;
      }
      auto owner =
        std::make_unique<SliceOwner>(shard, slice, mOptions.layout.slices, mSelf, mOptions.terms);
      if (mHistorySince && mClock.Now() < *mHistorySince + mOptions.terms.shortTerm) {
        owner->OnHistoryReplaced(*mHistorySince);
      }
      mOwners.emplace(id, std::move(owner));
      mAppliedConfig.reset(); // makes RefreshConfig() pass the organisations to the new owner
    }
  }
  std::erase_if(mOwners, [&](const auto& aPair) {
    return !IsPreferred(aPair.first) && !aPair.second->Lease().IsInvolved();
  });
}

void RateAgent::RefreshConfig()
{
  const auto current = mConfig.Current();
  if (current == mAppliedConfig) {
    return;
  }
  // Decoding all resources is slow, so it is done once for all owners and without the lock.
  auto organisations = OrganisationsByShard(*current, mOptions.layout.shards);
  const std::lock_guard lock(mMutex);
  mAppliedConfig = current;
  for (auto& [id, owner] : mOwners) {
    owner->ApplyConfig(organisations[id.first], mClock.Now());
  }
}

SliceOwner* RateAgent::FindOwner(const SliceId& aId)
{
  const auto it = mOwners.find(aId);
  return it == mOwners.end() ? nullptr : it->second.get();
}

bool RateAgent::IsPreferred(const SliceId& aId) const
{
  const VmIdentity* member = mPlacement.PreferredFor(aId.first, aId.second);
  return member != nullptr && member->link == mSelf.link;
}

bool RateAgent::IsLive(const LeaseHolder& aHolder) const
{
  const auto it = mIncarnations.find(aHolder.link);
  const bool newest = it != mIncarnations.end() && it->second == aHolder.incarnation;
  return newest && mLiveSince.contains(aHolder.link);
}

/** A later incarnation uses the holder's address, or an operator declared the holder lost. */
bool RateAgent::IsTerminated(const LeaseHolder& aHolder) const
{
  if (aHolder.link == mSelf.link) {
    return aHolder.incarnation < mSelf.incarnation;
  }
  const auto it = mIncarnations.find(aHolder.link);
  const bool restarted = it != mIncarnations.end() && it->second > aHolder.incarnation;
  const auto declared = mDeclaredLost.find(aHolder);
  return restarted || (declared != mDeclaredLost.end() && declared->second);
}

LeaseContext RateAgent::ContextFor(const SliceId& aId) const
{
  LeaseContext context;
  context.preferred = IsPreferred(aId) && !mReleasing;
  context.isTerminated = [this](const LeaseHolder& aHolder) { return IsTerminated(aHolder); };
  return context;
}

/** Tells all owners of a history that replaces one in which leases may have been in force. */
void RateAgent::NoteHistory()
{
  const std::uint64_t epoch = mStore.epoch ? mStore.epoch() : 0;
  const std::uint64_t known = std::exchange(mEpoch, epoch).value_or(epoch);
  if (epoch <= known) {
    return;
  }
  mHistorySince = mClock.Now();
  for (const auto& [id, owner] : mOwners) {
    owner->OnHistoryReplaced(*mHistorySince);
  }
}

void RateAgent::StepOwner(const SliceId& aId)
{
  for (int i = 0; i < kActionsPerStep; ++i) {
    LeaseAction action;
    {
      const std::lock_guard lock(mMutex);
      NoteHistory();
      SliceOwner* owner = FindOwner(aId);
      action = owner->Next(ContextFor(aId), mClock.Now());
      Report(*owner, LeaseChange::kNone);
    }
    if (std::holds_alternative<std::monostate>(action)) {
      return;
    }
    Perform(aId, action);
  }
}

void RateAgent::Perform(const SliceId& aId, const LeaseAction& aAction)
{
  const std::string name = LeaseName(aId.first, aId.second);
  LeaseChange change = LeaseChange::kNone;
  if (std::holds_alternative<LeaseRead>(aAction)) {
    const auto answer = mStore.read(name);
    const std::lock_guard lock(mMutex);
    ++mPlatformCalls;
    SliceOwner* owner = FindOwner(aId);
    change = owner->OnRead(answer, mClock.Now());
    Report(*owner, change);
  } else {
    const auto answer = mStore.write(name, std::get<LeaseWrite>(aAction));
    const std::lock_guard lock(mMutex);
    ++mPlatformCalls;
    SliceOwner* owner = FindOwner(aId);
    change = owner->OnWritten(answer, mClock.Now());
    Report(*owner, change);
  }
  if (change == LeaseChange::kReleased) {
    NotifyPreferred(aId);
  }
}

/** Logs changes of a lease's holder and term. */
void RateAgent::Report(const SliceOwner& aOwner, LeaseChange aChange)
{
  const SliceId id{ aOwner.Shard(), aOwner.Slice() };
  const std::string name = LeaseName(id.first, id.second);
  if (aChange == LeaseChange::kAcquired) {
    LogEvent(LogLevel::kInfo, Event::kLeaseAcquired, { { "lease", name } });
  } else if (aChange == LeaseChange::kReleased) {
    LogEvent(LogLevel::kInfo, Event::kLeaseReleased, { { "lease", name } });
  } else if (aChange == LeaseChange::kLost) {
    LogEvent(LogLevel::kWarn, Event::kLeaseLost, { { "lease", name } });
  }
  const SliceStatus::Term term = aOwner.TermAt(mClock.Now());
  const SliceStatus::Term before = std::exchange(mReportedTerms[id], term);
  if (term == SliceStatus::Term::kTail && before == SliceStatus::Term::kFull) {
    LogEvent(LogLevel::kWarn, Event::kLeaseReduced, { { "lease", name } });
  } else if (term == SliceStatus::Term::kFull && before == SliceStatus::Term::kTail) {
    LogEvent(LogLevel::kInfo, Event::kLeaseRestored, { { "lease", name } });
  }
}

bool RateAgent::ShouldReturnSlice(const SliceOwner& aOwner) const
{
  const TimePoint now = mClock.Now();
  const VmIdentity* member = mPlacement.PreferredFor(aOwner.Shard(), aOwner.Slice());
  if (member == nullptr || member->link == mSelf.link) {
    return false;
  }
  const auto since = mLiveSince.find(member->link);
  const bool settled =
    since != mLiveSince.end() && now >= since->second + mOptions.returnToPreferredAfter;
  // If the platform does not answer a release, the slice has no owner until it does.
  const bool reachable = now - aOwner.Lease().TermStart() <= kMaxRenewalAge;
  return settled && reachable;
}

/** Returns slices to their preferred owners one at a time, or all at once on a planned stop. */
void RateAgent::ReturnSlices()
{
  const std::lock_guard lock(mMutex);
  bool busy = std::any_of(mOwners.begin(), mOwners.end(), [](const auto& aPair) {
    return aPair.second->Lease().IsReleasing();
  });
  for (auto& [id, owner] : mOwners) {
    if (!owner->Lease().IsHolding()) {
      continue;
    }
    if (mReleasing || (!busy && ShouldReturnSlice(*owner))) {
      owner->BeginRelease(mClock.Now());
      busy = true;
    }
  }
}

/** Notifies the next owner that the lease is free, so that it does not wait to find out. */
void RateAgent::NotifyPreferred(const SliceId& aId)
{
  Address target;
  {
    const std::lock_guard lock(mMutex);
    const VmIdentity* member = mPlacement.PreferredFor(aId.first, aId.second);
    if (member == nullptr || member->link == mSelf.link) {
      return;
    }
    target = member->link;
  }
  mSend(target,
        PeerMessage::kGrantReturn,
        EncodeGrantMessage(LeaseNotice{ aId.first, aId.second }),
        mOptions.requestTimeout,
        [](const Result<std::string>&) {});
}

/** Asks the platform whether dead holders that keep a share from this node were declared lost. */
void RateAgent::CheckDeclaredLost()
{
  const TimePoint now = mClock.Now();
  if (now < mLostCheckAt) {
    return;
  }
  mLostCheckAt = now + kLostCheckInterval;
  std::map<LeaseHolder, bool> holders;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& [id, owner] : mOwners) {
      for (const LeaseHolder& it : owner->Lease().OtherHolders()) {
        if (!IsLive(it) && !IsTerminated(it)) {
          holders.emplace(it, false);
        }
      }
    }
  }
  for (auto& [holder, lost] : holders) {
    lost = mStore.isDeclaredLost(holder);
  }
  const std::lock_guard lock(mMutex);
  mPlatformCalls += holders.size();
  std::erase_if(mDeclaredLost, [](const auto& aPair) { return !aPair.second; });
  mDeclaredLost.merge(holders);
}

void RateAgent::Release(TimePoint aDeadline)
{
  {
    const std::lock_guard lock(mMutex);
    mReleasing = true;
    mMembersChanged = true;
  }
  while (true) {
    Step();
    const std::lock_guard lock(mMutex);
    const bool busy = std::any_of(mOwners.begin(), mOwners.end(), [](const auto& aPair) {
      return aPair.second->Lease().IsHolding() || aPair.second->Lease().IsReleasing();
    });
    if (!busy || mClock.Now() >= aDeadline) {
      return;
    }
    std::this_thread::sleep_for(kReleasePollInterval);
  }
}

RateAgent::SliceId RateAgent::SliceOf(const std::string& aOrganisation, std::uint32_t aSlice) const
{
  return { ShardOf(aOrganisation, mOptions.layout.shards), aSlice };
}

GrantReply RateAgent::Decide(const GrantRequest& aRequest)
{
  const std::lock_guard lock(mMutex);
  const SliceId id = SliceOf(aRequest.organisation, aRequest.slice);
  SliceOwner* owner = FindOwner(id);
  const GrantReply reply = owner == nullptr ? GrantReply() : owner->Handle(aRequest, mClock.Now());
  const bool unknown = reply.kind == GrantReply::Kind::kNotOwner && reply.holder.port == 0;
  if (!unknown || aRequest.slice >= mOptions.layout.slices) {
    return reply;
  }
  GrantReply hint = reply;
  const VmIdentity* member = mPlacement.PreferredFor(id.first, id.second);
  hint.holder = member == nullptr ? Address() : member->link;
  return hint;
}

void RateAgent::Accept(const GrantSettlement& aSettlement)
{
  const std::lock_guard lock(mMutex);
  SliceOwner* owner = FindOwner(SliceOf(aSettlement.organisation, aSettlement.slice));
  if (owner != nullptr) {
    owner->Settle(aSettlement, mClock.Now());
  }
}

void RateAgent::Accept(const LeaseNotice& aNotice)
{
  const std::lock_guard lock(mMutex);
  SliceOwner* owner = FindOwner({ aNotice.shard, aNotice.slice });
  if (owner != nullptr) {
    owner->RequestReread(mClock.Now());
  }
  mLeaseNoticeReceived = true;
  mWake.notify_all();
}

void RateAgent::Handle(const std::string& aPayload, const ReplyFn& aReply)
{
  const auto message = DecodeGrantMessage(aPayload);
  if (!message) {
    LogEvent(LogLevel::kWarn, Event::kRateMessageRejected);
    aReply(Failure{ ResultCode::kRateBadMessage, "" });
    return;
  }
  if (const auto* request = std::get_if<GrantRequest>(&*message)) {
    aReply(EncodeGrantReply(Decide(*request)));
    return;
  }
  if (const auto* settlement = std::get_if<GrantSettlement>(&*message)) {
    Accept(*settlement);
  } else {
    Accept(std::get<LeaseNotice>(*message));
  }
  aReply(std::string());
}

Address RateAgent::TargetOf(const SliceId& aId) const
{
  const auto hint = mHints.find(aId);
  if (hint != mHints.end()) {
    return hint->second;
  }
  const VmIdentity* member = mPlacement.PreferredFor(aId.first, aId.second);
  return member == nullptr ? Address() : member->link;
}

void RateAgent::RequestGrant(const GrantRequest& aRequest,
                             const RateLimiter::ReplyFn& aReply,
                             unsigned aRedirects)
{
  Address target;
  {
    const std::lock_guard lock(mMutex);
    target = TargetOf(SliceOf(aRequest.organisation, aRequest.slice));
  }
  if (target.port == 0) {
    aReply(Failure{ ResultCode::kRateNoOwner, "" });
    return;
  }
  if (target == mSelf.link) {
    OnGrantAnswer(aRequest, aReply, aRedirects, target, EncodeGrantReply(Decide(aRequest)));
    return;
  }
  mSend(target,
        PeerMessage::kGrantRequest,
        EncodeGrantMessage(aRequest),
        mOptions.requestTimeout,
        [this, aRequest, aReply, aRedirects, target](const Result<std::string>& aAnswer) {
          OnGrantAnswer(aRequest, aReply, aRedirects, target, aAnswer);
        });
}

void RateAgent::ForgetHint(const GrantRequest& aRequest, const Address& aTarget)
{
  const auto it = mHints.find(SliceOf(aRequest.organisation, aRequest.slice));
  if (it != mHints.end() && it->second == aTarget) {
    mHints.erase(it);
  }
}

void RateAgent::OnGrantAnswer(const GrantRequest& aRequest,
                              const RateLimiter::ReplyFn& aReply,
                              unsigned aRedirects,
                              const Address& aTarget,
                              const Result<std::string>& aAnswer)
{
  const auto reply = aAnswer ? DecodeGrantReply(aAnswer.Value()) : std::nullopt;
  if (reply && reply->kind != GrantReply::Kind::kNotOwner) {
    aReply(*reply);
    return;
  }
  bool follow = false;
  {
    const std::lock_guard lock(mMutex);
    ForgetHint(aRequest, aTarget);
    const bool hinted = reply && reply->holder.port != 0 && reply->holder != aTarget;
    follow = hinted && aRedirects < kMaxRedirects;
    if (hinted) {
      mHints[SliceOf(aRequest.organisation, aRequest.slice)] = reply->holder;
    }
  }
  if (follow) {
    RequestGrant(aRequest, aReply, aRedirects + 1);
    return;
  }
  aReply(Failure{ ResultCode::kRateNoOwner, "" });
}

void RateAgent::SendSettlement(const GrantSettlement& aSettlement)
{
  Address target;
  {
    const std::lock_guard lock(mMutex);
    target = TargetOf(SliceOf(aSettlement.organisation, aSettlement.slice));
  }
  if (target == mSelf.link) {
    Accept(aSettlement);
    return;
  }
  if (target.port != 0) {
    mSend(target,
          PeerMessage::kGrantReturn,
          EncodeGrantMessage(aSettlement),
          mOptions.requestTimeout,
          [](const Result<std::string>&) {});
  }
}

RateStatus RateAgent::Status()
{
  const std::lock_guard lock(mMutex);
  RateStatus status;
  status.layout = mOptions.layout;
  status.layoutAgreed = mLayoutAgreed;
  status.platformCalls = mPlatformCalls;
  status.counters = mLimiter.Counters();
  for (auto& [id, owner] : mOwners) {
    status.slices.push_back(owner->Status(mClock.Now()));
  }
  return status;
}

} // namespace mustardwinch
