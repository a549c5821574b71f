#include "membership/FreshnessTracker.h"

#include <algorithm>

namespace mustardwinch {

void FreshnessTracker::OnDigest(std::uint64_t aDigest)
{
  if (!mDigests.empty() && mDigests.front() == aDigest) {
    return;
  }
  mDigests.push_front(aDigest);
  if (mDigests.size() > kDigestHistory) {
    mDigests.pop_back();
  }
  for (const Contact& it : mContacts) {
    if (it.digest == aDigest) {
      mConfirmedAt = std::max(mConfirmedAt, it.at);
    }
  }
}

void FreshnessTracker::OnBeacon(const FreshnessBeacon& aBeacon, TimePoint aPingSentAt)
{
  // Bounds the received age before converting it to the unit of the clock.
  constexpr std::uint64_t kMaxAgeMs = 86'400'000;
  const Milliseconds age(std::min(aBeacon.ageMs, kMaxAgeMs));
  AddContact({ aPingSentAt - age, aBeacon.digest, aBeacon.revision });
}

void FreshnessTracker::OnOwnContact(TimePoint aContact,
                                    std::uint64_t aDigest,
                                    std::uint64_t aRevision)
{
  OnDigest(aDigest);
  AddContact({ aContact, aDigest, aRevision });
}

void FreshnessTracker::AddContact(const Contact& aContact)
{
  const auto it = std::find_if(mContacts.begin(), mContacts.end(), [&](const Contact& aOther) {
    return aOther.digest == aContact.digest;
  });
  if (it == mContacts.end()) {
    mContacts.push_back(aContact);
  } else if (it->at < aContact.at) {
    *it = aContact;
  }
  std::stable_sort(
    mContacts.begin(), mContacts.end(), [](const Contact& aLeft, const Contact& aRight) {
      return aLeft.at > aRight.at;
    });
  mContacts.resize(std::min(mContacts.size(), kMaxContacts));
  if (WasHeld(aContact.digest)) {
    mConfirmedAt = std::max(mConfirmedAt, aContact.at);
  }
}

bool FreshnessTracker::WasHeld(std::uint64_t aDigest) const
{
  return std::find(mDigests.begin(), mDigests.end(), aDigest) != mDigests.end();
}

void FreshnessTracker::OnProbe(const ProbeOutcome& aOutcome)
{
  ProbeOutcome& stored = mProbes[aOutcome.member];
  if (stored.sentAt <= aOutcome.sentAt) {
    stored = aOutcome;
  }
}

TimePoint FreshnessTracker::ReachableUntil(TimePoint aNow,
                                           std::size_t aLive,
                                           std::size_t aLost) const
{
  if (aLive == 0 && aLost == 0) {
    return mEverConfirmed ? aNow + FreshnessView::kPauseLimit : TimePoint();
  }
  double answered = 0;
  TimePoint newest{};
  for (const auto& [name, outcome] : mProbes) {
    if (outcome.answered) {
      answered += 1;
      newest = std::max(newest, outcome.sentAt);
    }
  }
  if (answered == 0) {
    return TimePoint();
  }
  // The probes sample the live members; lost members count as unreachable, this node as reachable.
  const double answeredShare = answered / static_cast<double>(mProbes.size());
  const double reachable = answeredShare * static_cast<double>(aLive) + 1.0;
  const double fleet = static_cast<double>(aLive + aLost) + 1.0;
  return reachable * 2.0 > fleet ? newest + kProbeBound : TimePoint();
}

void FreshnessTracker::Tick(TimePoint aNow, std::size_t aLive, std::size_t aLost)
{
  if (aNow - mView.lastTick > FreshnessView::kPauseLimit) {
    mConfirmedAt = TimePoint();
    mContacts.clear();
    mProbes.clear();
  }
  std::erase_if(mProbes,
                [&](const auto& aEntry) { return aNow - aEntry.second.sentAt >= kProbeBound; });
  const bool confirmed = mConfirmedAt != TimePoint() && aNow - mConfirmedAt < kConfirmBound;
  mEverConfirmed = mEverConfirmed || confirmed;
  mLoaded = mLoaded || confirmed;
  mView.lastTick = aNow;
  mView.confirmedUntil = confirmed ? mConfirmedAt + kConfirmBound : TimePoint();
  mView.reachableUntil = mLoaded ? ReachableUntil(aNow, aLive, aLost) : TimePoint();
}

std::vector<FreshnessBeacon> FreshnessTracker::Beacons(TimePoint aNow) const
{
  std::vector<FreshnessBeacon> beacons;
  const auto add = [&](const Contact& aContact) {
    const auto age = std::chrono::ceil<Milliseconds>(aNow - aContact.at);
    if (age < kConfirmBound) {
      const auto ms = static_cast<std::uint64_t>(std::max<long>(0, age.count()));
      beacons.push_back({ ms, aContact.digest, aContact.revision });
    }
  };
  for (const Contact& it : mContacts) {
    const bool own = !mDigests.empty() && it.digest == mDigests.front();
    const bool first = beacons.empty();
    if (first || (own && beacons.size() < kMaxBeaconsSent)) {
      add(it);
    }
  }
  return beacons;
}

} // namespace mustardwinch
