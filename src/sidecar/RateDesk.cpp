#include "sidecar/RateDesk.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** Ten times a round trip between failure domains on a busy machine. */
constexpr Milliseconds kAskTimeout{ 120 };

} // namespace

RateDesk::RateDesk(Clock& aClock,
                   std::string aSelf,
                   LinkTable& aLinks,
                   RateKind aKind,
                   const RateSettings& aSettings)
  : mClock(aClock)
  , mSelf(std::move(aSelf))
  , mLinks(aLinks)
  , mKind(aKind)
  , mOwner(mSelf, aClock.Now(), aSettings)
{
}

void RateDesk::Serve(const Organisation& aOrganisation,
                     const RateAskMessage& aAsk,
                     const VerdictFn& aDone)
{
  const RateVerdict verdict = mOwner.Take(mClock.Now(), aOrganisation, aAsk.repeats);
  const std::string owner = mOwner.OwnerOf(aOrganisation.name);
  if (verdict.kind != RateVerdict::Kind::kNotOwner || aAsk.relayed || owner == mSelf) {
    aDone(verdict);
    return;
  }
  RateAskMessage ask = aAsk;
  ask.relayed = true;
  PeerLink* link = mLinks.Find(owner);
  if (link == nullptr || !link->AskRate(ask, aDone)) {
    aDone(verdict);
  }
}

void RateDesk::Ask(const Organisation& aOrganisation, VerdictFn aDone)
{
  const std::string owner = mOwner.OwnerOf(aOrganisation.name);
  const std::uint32_t repeats = std::exchange(mRepeats[aOrganisation.name], 0);
  if (owner == mSelf) {
    RateVerdict verdict = mOwner.Take(mClock.Now(), aOrganisation, repeats);
    if (verdict.kind == RateVerdict::Kind::kNotOwner) {
      verdict = mOwner.TakeLocalToken(mClock.Now(), aOrganisation);
    } else {
      verdict.decidedBy = mSelf;
    }
    aDone(verdict);
    return;
  }
  PeerLink* link = mLinks.Find(owner);
  if (link == nullptr || !link->IsLive()) {
    link = mLinks.Find(SelectRateRelay(aOrganisation.name, mLinks.LiveVms(), mSelf));
  }
  const auto pending = std::make_shared<Pending>(
    Pending{ aOrganisation, std::move(aDone), mClock.Now() + kAskTimeout });
  mPending.push_back(pending);
  const std::weak_ptr<Pending> weak = pending;
  const auto onVerdict = [this, weak, owner](RateVerdict aVerdict) {
    aVerdict.decidedBy = owner;
    Settle(weak, std::move(aVerdict));
  };
  const RateAskMessage ask{
    0, aOrganisation.name, repeats, false, static_cast<std::uint8_t>(mKind)
  };
  if (link == nullptr || !link->AskRate(ask, onVerdict)) {
    Settle(weak, {});
  }
}

void RateDesk::Settle(const std::weak_ptr<Pending>& aPending, RateVerdict aVerdict)
{
  const std::shared_ptr<Pending> pending = aPending.lock();
  if (!pending) {
    return; // it ran out of time before
  }
  mPending.remove(pending);
  if (aVerdict.kind == RateVerdict::Kind::kNotOwner) {
    aVerdict = mOwner.TakeLocalToken(mClock.Now(), pending->organisation);
  }
  pending->done(aVerdict);
}

bool RateDesk::SetFleet(const RateFleet& aFleet)
{
  return mOwner.SetFleet(mClock.Now(), aFleet.alive, aFleet.known, aFleet.restarted);
}

void RateDesk::Tick()
{
  const TimePoint now = mClock.Now();
  while (!mPending.empty() && now >= mPending.front()->until) {
    Settle(mPending.front(), {});
  }
}

} // namespace mustardwinch
