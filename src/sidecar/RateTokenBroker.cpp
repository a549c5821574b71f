#include "sidecar/RateTokenBroker.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** Ten times the round trip between failure domains on a busy VM. */
constexpr Milliseconds kAskTimeout{ 120 };

} // namespace

RateTokenBroker::RateTokenBroker(Clock& aClock,
                                 std::string aSelf,
                                 LinkTable& aLinks,
                                 RateKind aKind,
                                 const RateSettings& aSettings)
  : mClock(aClock)
  , mSelf(std::move(aSelf))
  , mLinks(aLinks)
  , mKind(aKind)
  , mOwner(mSelf, aClock.Now(), aSettings)
  , mLocal(mSelf, aSettings)
{
}

void RateTokenBroker::Serve(const Organisation& aOrganisation,
                            const RateAskMessage& aAsk,
                            const VerdictFn& aDone)
{
  const RateVerdict verdict = mOwner.Take(mClock.Now(), aOrganisation, aAsk.repeats);
  const std::string owner = mOwner.OwnerOf(aOrganisation.name);
  if (verdict.kind != RateVerdict::Kind::kNotOwner || aAsk.relayed || owner == mSelf) {
    aDone(verdict);
    return;
  }
  RateAskMessage relayedAsk = aAsk;
  relayedAsk.relayed = true;
  PeerLink* link = mLinks.Find(owner);
  if (link == nullptr || !link->AskRate(relayedAsk, aDone)) {
    aDone(verdict);
  }
}

void RateTokenBroker::Acquire(const Organisation& aOrganisation, VerdictFn aDone)
{
  const std::string owner = mOwner.OwnerOf(aOrganisation.name);
  const std::uint32_t retries = std::exchange(mUnchargedRetries[aOrganisation.name], 0);
  const std::uint32_t advances = mLocal.TakeUncharged(aOrganisation.name);
  if (owner == mSelf) {
    RateVerdict verdict = mOwner.Take(mClock.Now(), aOrganisation, retries + advances);
    verdict.decidedBy = mSelf;
    aDone(Settle(aOrganisation, advances, std::move(verdict)));
    return;
  }
  PeerLink* link = mLinks.Find(owner);
  if (link == nullptr || !link->IsLive()) {
    link = mLinks.Find(SelectRateRelay(aOrganisation.name, mLinks.LiveVms(), mSelf));
  }
  const auto pending = std::make_shared<Pending>(
    Pending{ aOrganisation, std::move(aDone), mClock.Now() + kAskTimeout, advances });
  mPending.push_back(pending);
  const std::weak_ptr<Pending> weak = pending;
  const auto onVerdict = [this, weak, owner](RateVerdict aVerdict) {
    aVerdict.decidedBy = owner;
    Complete(weak, std::move(aVerdict));
  };
  const RateAskMessage request{
    0, aOrganisation.name, retries + advances, false, static_cast<std::uint8_t>(mKind)
  };
  if (link == nullptr || !link->AskRate(request, onVerdict)) {
    Complete(weak, {});
  }
}

void RateTokenBroker::Complete(const std::weak_ptr<Pending>& aPending, RateVerdict aVerdict)
{
  const std::shared_ptr<Pending> pending = aPending.lock();
  if (!pending) {
    return; // it already timed out
  }
  mPending.remove(pending);
  pending->done(Settle(pending->organisation, pending->advances, std::move(aVerdict)));
}

RateVerdict RateTokenBroker::Settle(const Organisation& aOrganisation,
                                    std::uint32_t aAdvances,
                                    RateVerdict aVerdict)
{
  if (aVerdict.IsDecided()) {
    mLocal.OnOwnerAnswered(aOrganisation.name, aAdvances);
    return aVerdict;
  }
  mLocal.OnOwnerSilent(mClock.Now(), aOrganisation.name, aAdvances);
  const bool ownerIsNew = aVerdict.kind == RateVerdict::Kind::kNotYet;
  return mLocal.Take(mClock.Now(), aOrganisation, ownerIsNew);
}

bool RateTokenBroker::SetFleet(const RateFleetView& aFleet)
{
  mLocal.SetFleet(aFleet);
  return mOwner.SetFleet(mClock.Now(), aFleet);
}

void RateTokenBroker::Tick()
{
  const TimePoint now = mClock.Now();
  while (!mPending.empty() && now >= mPending.front()->until) {
    Complete(mPending.front(), {});
  }
}

} // namespace mustardwinch
