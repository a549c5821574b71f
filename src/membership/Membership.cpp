#include "membership/Membership.h"

#include "membership/WatcherElection.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

namespace mustardwinch {
namespace {

/** Weight of one probe in the moving average of answered probes. */
constexpr double kAnsweredShareWeight = 0.2;
/** Below this share, a node assumes that it is itself disconnected. */
constexpr double kMinAnsweredShare = 0.5;

} // namespace

Membership::Membership(VmIdentity aSelf, std::vector<Address> aSeeds, std::uint64_t aRandomSeed)
  : mSelf{ std::move(aSelf), 0, MemberState::kAlive }
  , mSeeds(std::move(aSeeds))
  , mRandom(aRandomSeed)
{
  std::erase(mSeeds, mSelf.identity.link);
  mQueue.Add(mSelf.identity.name, mSelf);
}

void Membership::Tick(TimePoint aNow, Actions& aActions)
{
  if (mLastTick == TimePoint()) {
    mNextProbe = aNow + Duration(mRandom() % Duration(kProbePeriod).count());
    mNextReconnect = aNow;
  } else if (aNow - mLastTick > kPauseLimit) {
    ResetAfterPause(aNow, aActions);
  }
  mLastTick = aNow;
  ExpireProbes(aNow, aActions);
  FailSuspects(aNow, aActions);
  if (mLeaving) {
    return;
  }
  if (aNow >= mNextProbe) {
    mNextProbe = aNow + kProbePeriod;
    ProbeNext(aNow, aActions);
    ProbeBeaconSource(aNow, aActions);
    PurgeLost(aNow);
  }
  if (aNow >= mNextReconnect) {
    const bool alone = Live().size() == 1;
    mNextReconnect = aNow + (alone ? kJoinPeriod : kReconnectPeriod);
    Reconnect(aNow, aActions);
  }
}

/** After a pause of this process, missing answers are no evidence of failures, so timers restart.
 */
void Membership::ResetAfterPause(TimePoint aNow, Actions& aActions)
{
  aActions.emplace_back(PauseDetected{ aNow - mLastTick });
  mProbes.clear();
  mRelays.clear();
  mAnsweredShare = 0;
  mNextReconnect = aNow;
  for (const std::string& it : mSuspects) {
    mMembers.at(it).changedAt = aNow;
  }
}

void Membership::ExpireProbes(TimePoint aNow, Actions& aActions)
{
  for (Probe& it : mProbes) {
    if (it.suspectOnTimeout && !it.indirectSent && aNow - it.sentAt >= kDirectTimeout) {
      SendIndirect(it, aActions);
    }
  }
  std::vector<Probe> ended;
  std::erase_if(mProbes, [&](const Probe& aProbe) {
    const bool over = aNow - aProbe.sentAt >= kProbePeriod;
    if (over) {
      ended.push_back(aProbe);
    }
    return over;
  });
  for (const Probe& it : ended) {
    if (it.suspectOnTimeout && IsLive(it.member)) {
      mAnsweredShare -= kAnsweredShareWeight * mAnsweredShare;
      aActions.emplace_back(ProbeOutcome{ it.member, it.sentAt, false });
      Suspect(it.member, aNow, aActions);
    }
  }
  std::erase_if(mRelays, [&](const Relay& aRelay) { return aNow - aRelay.sentAt >= kProbePeriod; });
}

void Membership::SendIndirect(Probe& aProbe, Actions& aActions)
{
  aProbe.indirectSent = true;
  for (const VmIdentity& it : RandomLive(kIndirectProbes, aProbe.member)) {
    aActions.emplace_back(
      SendPingRequest{ it.link, aProbe.address, aProbe.sequence, aProbe.member });
  }
}

Duration Membership::SuspicionTime() const
{
  const double doublings = std::log2(static_cast<double>(mLiveOthers) + 1.0);
  const Duration time = kSuspicionBase + std::chrono::duration_cast<Duration>(
                                           doublings * Duration(kSuspicionPerDoubling));
  return mAnsweredShare < kMinAnsweredShare ? time * kUnreliableViewFactor : time;
}

void Membership::FailSuspects(TimePoint aNow, Actions& aActions)
{
  const Duration limit = SuspicionTime();
  std::vector<MemberUpdate> failed;
  for (const std::string& it : mSuspects) {
    const Member& member = mMembers.at(it);
    if (aNow - member.changedAt >= limit) {
      failed.push_back(member.update);
      failed.back().state = MemberState::kFailed;
    }
  }
  for (const MemberUpdate& it : failed) {
    Store(it, aNow, aActions);
  }
}

void Membership::PurgeLost(TimePoint aNow)
{
  std::erase_if(mMembers, [&](const auto& aEntry) {
    const Member& member = aEntry.second;
    const bool forget =
      !IsLiveState(member.update.state) && aNow - member.changedAt >= kLostRetention;
    if (forget) {
      mFailed.erase(aEntry.first);
    }
    return forget;
  });
}

void Membership::StartProbe(const std::string& aMember,
                            const Address& aAddress,
                            bool aSuspectOnTimeout,
                            TimePoint aNow,
                            Actions& aActions)
{
  const std::uint64_t sequence = ++mSequence;
  mProbes.push_back({ sequence, aMember, aAddress, aNow, aSuspectOnTimeout, false });
  aActions.emplace_back(SendPing{ aAddress, sequence, aMember });
}

/** Probes in shuffled round-robin order, so that each member is probed within a bounded time. */
void Membership::ProbeNext(TimePoint aNow, Actions& aActions)
{
  while (mLiveOthers > 0) {
    if (mOrder.empty()) {
      for (const VmIdentity& it : RandomLive(mLiveOthers)) {
        mOrder.push_back(it.name);
      }
    }
    const std::string name = std::move(mOrder.back());
    mOrder.pop_back();
    if (IsLive(name)) {
      StartProbe(name, mMembers.at(name).update.identity.link, true, aNow, aActions);
      return;
    }
  }
}

/** The nodes of a failure domain form a tree rooted at its watchers, so that beacons reach all of
 * them within a few probes. The random probe of each period bypasses an unresponsive parent. */
void Membership::ProbeBeaconSource(TimePoint aNow, Actions& aActions)
{
  const std::vector<VmIdentity>& ranked = DomainRank();
  const auto self = std::find_if(ranked.begin(), ranked.end(), [&](const VmIdentity& aMember) {
    return aMember.name == mSelf.identity.name;
  });
  const auto rank = static_cast<std::size_t>(self - ranked.begin());
  if (rank < WatcherElection::kWatchers || self == ranked.end()) {
    return;
  }
  const VmIdentity& parent = ranked[(rank - WatcherElection::kWatchers) / kBeaconFanout];
  StartProbe(parent.name, parent.link, false, aNow, aActions);
}

/** Probes a failed member and an unanswered seed, so that the sides of a healed partition merge. */
void Membership::Reconnect(TimePoint aNow, Actions& aActions)
{
  if (!mFailed.empty()) {
    const auto place = static_cast<long>(mRandom() % mFailed.size());
    const std::string& name = *std::next(mFailed.begin(), place);
    StartProbe(name, mMembers.at(name).update.identity.link, false, aNow, aActions);
  }
  if (!mSeeds.empty()) {
    StartProbe({}, mSeeds[mRandom() % mSeeds.size()], false, aNow, aActions);
  }
}

void Membership::OnPing(const Address& aFrom,
                        const std::string& aMember,
                        std::uint64_t aSequence,
                        Actions& aActions)
{
  aActions.emplace_back(SendAck{ aFrom, aSequence, aMember });
}

std::optional<TimePoint> Membership::OnAck(const std::string& aMember,
                                           std::uint64_t aSequence,
                                           TimePoint aNow,
                                           Actions& aActions)
{
  const auto relay = std::find_if(mRelays.begin(), mRelays.end(), [&](const Relay& aRelay) {
    return aRelay.sequence == aSequence;
  });
  if (relay != mRelays.end()) {
    aActions.emplace_back(SendAck{ relay->requester, relay->requesterSequence, {} });
    mRelays.erase(relay);
    return std::nullopt;
  }
  const auto it = std::find_if(mProbes.begin(), mProbes.end(), [&](const Probe& aProbe) {
    return aProbe.sequence == aSequence;
  });
  if (it == mProbes.end() || aNow - it->sentAt >= kProbePeriod) {
    return std::nullopt;
  }
  const Probe probe = *it;
  mProbes.erase(it);
  std::erase(mSeeds, probe.address);
  const std::string& name = probe.member.empty() ? aMember : probe.member;
  const bool live = IsLive(name);
  if (live && probe.suspectOnTimeout) {
    mAnsweredShare += kAnsweredShareWeight * (1.0 - mAnsweredShare);
    aActions.emplace_back(ProbeOutcome{ name, probe.sentAt, true });
  }
  if (!live || probe.member.empty()) {
    aActions.emplace_back(PullFrom{ probe.address });
  }
  return probe.sentAt;
}

void Membership::OnPingRequest(const Address& aFrom,
                               const Address& aTarget,
                               const std::string& aMember,
                               std::uint64_t aSequence,
                               TimePoint aNow,
                               Actions& aActions)
{
  const std::uint64_t sequence = ++mSequence;
  mRelays.push_back({ sequence, aFrom, aSequence, aNow });
  aActions.emplace_back(SendPing{ aTarget, sequence, aMember });
}

void Membership::Suspect(const std::string& aMember, TimePoint aNow, Actions& aActions)
{
  MemberUpdate update = mMembers.at(aMember).update;
  if (update.state != MemberState::kAlive) {
    return;
  }
  update.state = MemberState::kSuspect;
  Store(update, aNow, aActions);
  // Notifies the member itself at once, so that it can refute the suspicion in time.
  aActions.emplace_back(SendUpdates{ update.identity.link });
}

void Membership::OnUpdate(const MemberUpdate& aUpdate, TimePoint aNow, Actions& aActions)
{
  if (aUpdate.identity.name == mSelf.identity.name) {
    OnUpdateOfSelf(aUpdate, aActions);
    return;
  }
  const auto it = mMembers.find(aUpdate.identity.name);
  if (it == mMembers.end() || aUpdate.Supersedes(it->second.update)) {
    Store(aUpdate, aNow, aActions);
  }
}

void Membership::OnUpdateOfSelf(const MemberUpdate& aUpdate, Actions& aActions)
{
  if (aUpdate.identity.incarnation > mSelf.identity.incarnation) {
    // The wall clock went back across a restart, or another process uses the same name.
    mSelf.identity.incarnation = aUpdate.identity.incarnation + 1;
    mSelf.refutation = 0;
    mLiveChanged = true;
    aActions.emplace_back(IncarnationRaised{ aUpdate.identity.link });
  } else if (!mLeaving && aUpdate.Supersedes(mSelf)) {
    mSelf.refutation = aUpdate.refutation + 1;
  } else {
    return;
  }
  mQueue.Add(mSelf.identity.name, mSelf);
  aActions.emplace_back(Refuted{});
}

void Membership::Store(const MemberUpdate& aUpdate, TimePoint aNow, Actions& aActions)
{
  const auto [it, added] = mMembers.try_emplace(aUpdate.identity.name);
  Member& member = it->second;
  const MemberUpdate old = member.update;
  const bool wasLive = !added && IsLiveState(old.state);
  const bool isLive = IsLiveState(aUpdate.state);
  const bool restarted = !added && old.identity.incarnation < aUpdate.identity.incarnation;
  member = { aUpdate, aNow };
  mLiveOthers += static_cast<std::size_t>(isLive) - static_cast<std::size_t>(wasLive);
  mQueue.Add(aUpdate.identity.name, aUpdate);
  IndexState(aUpdate.identity.name, aUpdate.state);
  mLiveChanged = mLiveChanged || wasLive != isLive || old.identity != aUpdate.identity;
  if (isLive && !wasLive) {
    std::erase(mSeeds, aUpdate.identity.link);
    const std::size_t place = mOrder.empty() ? 0 : mRandom() % (mOrder.size() + 1);
    mOrder.insert(mOrder.begin() + static_cast<long>(place), aUpdate.identity.name);
  }
  if (wasLive == isLive && !restarted) {
    return;
  }
  MemberChange change{ aUpdate.identity, aUpdate.state, std::nullopt };
  if (restarted && old.identity.link == aUpdate.identity.link) {
    change.replaced = old.identity.incarnation;
  }
  aActions.emplace_back(std::move(change));
}

void Membership::Leave(Actions& aActions)
{
  mLeaving = true;
  mSelf.state = MemberState::kLeft;
  mQueue.Add(mSelf.identity.name, mSelf);
  for (const VmIdentity& it : RandomLive(kLeaveFanout)) {
    aActions.emplace_back(SendUpdates{ it.link });
  }
}

std::vector<VmIdentity> Membership::RandomLive(std::size_t aCount, const std::string& aExcept)
{
  const std::vector<VmIdentity>& live = Live();
  std::vector<std::size_t> places(live.size() - 1);
  std::iota(places.begin(), places.end(), 1);
  std::vector<VmIdentity> chosen;
  for (std::size_t n = 0; n < places.size() && chosen.size() < aCount; ++n) {
    std::swap(places[n], places[n + mRandom() % (places.size() - n)]);
    if (live[places[n]].name != aExcept) {
      chosen.push_back(live[places[n]]);
    }
  }
  return chosen;
}

std::vector<MemberUpdate> Membership::All() const
{
  std::vector<MemberUpdate> all{ mSelf };
  for (const auto& [name, member] : mMembers) {
    all.push_back(member.update);
  }
  return all;
}

const std::vector<VmIdentity>& Membership::Live()
{
  RefreshLive();
  return mLive;
}

const std::vector<VmIdentity>& Membership::DomainRank()
{
  RefreshLive();
  return mDomainRank;
}

void Membership::RefreshLive()
{
  if (!mLiveChanged) {
    return;
  }
  mLiveChanged = false;
  mLive = { mSelf.identity };
  for (const auto& [name, member] : mMembers) {
    if (IsLiveState(member.update.state)) {
      mLive.push_back(member.update.identity);
    }
  }
  mDomainRank = WatcherElection::Rank(mLive, mSelf.identity.failureDomain);
}

void Membership::IndexState(const std::string& aMember, MemberState aState)
{
  mSuspects.erase(aMember);
  mFailed.erase(aMember);
  if (aState == MemberState::kSuspect) {
    mSuspects.insert(aMember);
  } else if (aState == MemberState::kFailed) {
    mFailed.insert(aMember);
  }
}

const MemberUpdate* Membership::Find(const std::string& aMember) const
{
  const auto it = mMembers.find(aMember);
  return it == mMembers.end() ? nullptr : &it->second.update;
}

bool Membership::IsLive(const std::string& aMember) const
{
  const auto it = mMembers.find(aMember);
  return it != mMembers.end() && IsLiveState(it->second.update.state);
}

} // namespace mustardwinch
