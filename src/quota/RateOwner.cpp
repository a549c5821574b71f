#include "quota/RateOwner.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mustardwinch {
namespace {

/** All nodes see within this time that a VM is gone; until then a new owner grants nothing. */
constexpr Milliseconds kTakeOverDelay{ 1'500 };

/** A node that did nothing for longer may have been replaced as owner without hearing of it: its
 *  peers miss it after three heartbeats. */
constexpr Milliseconds kLongestPause{ 1'500 };

/** Part of the slack that one new owner grants: two may do so for one organisation, and the nodes'
 *  own parts need the rest. */
constexpr double kAdvanceShare = 0.4;

/** From the start of a take-over; until then the new owner's bucket may lack what the old one had.
 */
constexpr Seconds kAdvanceTime{ 3 };

/** Longer than the window in which the slack counts. */
constexpr Seconds kAdvanceMemory{ 10 };

/** A part that was not asked for this long begins anew; a take-over is done by then. */
constexpr Seconds kPartMemory{ 5 };

const RateVerdict kGranted{ RateVerdict::Kind::kGranted, {}, {} };

RateVerdict VerdictOf(TokenBucket& aBucket, TimePoint aNow, double aRate, double aBurst)
{
  if (aBucket.TryTake(aNow, aRate, aBurst)) {
    return kGranted;
  }
  const auto wait = std::chrono::ceil<Milliseconds>(aBucket.TimeToToken(aRate));
  return { RateVerdict::Kind::kExceeded, wait, {} };
}

} // namespace

std::string RateOwnerOf(const std::string& aOrganisation, const std::vector<std::string>& aLiveVms)
{
  const XXH64_hash_t seed = XXH64(aOrganisation.data(), aOrganisation.size(), 0);
  std::string owner;
  XXH64_hash_t highest = 0;
  for (const std::string& it : aLiveVms) {
    const XXH64_hash_t weight = XXH64(it.data(), it.size(), seed);
    if (owner.empty() || weight > highest) {
      owner = it;
      highest = weight;
    }
  }
  return owner;
}

std::string SelectRateRelay(const std::string& aOrganisation,
                      std::vector<std::string> aHeard,
                      const std::string& aSelf)
{
  std::erase(aHeard, aSelf);
  return RateOwnerOf(aOrganisation, aHeard);
}

std::size_t RankFor(const std::string& aDuty,
                    const std::vector<std::string>& aLiveVms,
                    const std::string& aVm)
{
  const XXH64_hash_t seed = XXH64(aDuty.data(), aDuty.size(), 0);
  const XXH64_hash_t own = XXH64(aVm.data(), aVm.size(), seed);
  return static_cast<std::size_t>(
    std::count_if(aLiveVms.begin(), aLiveVms.end(), [&](const std::string& aOther) {
      return XXH64(aOther.data(), aOther.size(), seed) > own;
    }));
}

RateOwner::RateOwner(std::string aSelf, TimePoint aStart, const RateSettings& aSettings)
  : mSelf(std::move(aSelf))
  , mStart(aStart)
  , mSettings(aSettings)
  , mChanged(aStart)
  , mSeen(aStart)
  , mRandom(XXH64(mSelf.data(), mSelf.size(), 0))
{
}

bool RateOwner::SetFleet(TimePoint aNow,
                         std::vector<std::string> aLiveVms,
                         std::size_t aKnownVms,
                         bool aRestarted)
{
  mKnown = std::max<std::size_t>(1, aKnownVms);
  const bool paused = WasPaused(aNow);
  mSeen = aNow;
  const bool begins = aRestarted && !mRestarted;
  mRestarted = aRestarted;
  if (aLiveVms == mLive && !paused && !begins) {
    return false;
  }
  mLive = std::move(aLiveVms);
  // Where all VMs have just started, no earlier owner is left to be waited for.
  mChanged = aRestarted && !paused ? aNow - kTakeOverDelay : aNow;
  for (auto& [organisation, entry] : mEntries) {
    std::string owner = RateOwnerOf(organisation, mLive);
    if (owner != entry.owner || paused || entry.ownedSince > mChanged) {
      entry.ownedSince = mChanged;
      entry.bucket = TokenBucket(mChanged + kTakeOverDelay); // nodes spend their parts until then
      entry.owner = std::move(owner);
    }
  }
  return true;
}

bool RateOwner::WasPaused(TimePoint aNow) const
{
  return aNow - mSeen > kLongestPause;
}

RateOwner::Entry& RateOwner::EntryOf(const std::string& aOrganisation)
{
  const auto it = mEntries.find(aOrganisation);
  if (it != mEntries.end()) {
    return it->second;
  }
  Entry entry{ RateOwnerOf(aOrganisation, mLive),
               mChanged,
               TokenBucket(mChanged + kTakeOverDelay),
               TokenBucket(mStart) };
  return mEntries.emplace(aOrganisation, std::move(entry)).first->second;
}

const std::string& RateOwner::OwnerOf(const std::string& aOrganisation)
{
  return EntryOf(aOrganisation).owner;
}

RateVerdict RateOwner::Take(TimePoint aNow,
                            const Organisation& aOrganisation,
                            std::uint32_t aRepeats)
{
  Entry& entry = EntryOf(aOrganisation.name);
  const bool minority = 2 * mLive.size() <= mKnown && mKnown > 1;
  const bool tooEarly = aNow - entry.ownedSince < kTakeOverDelay;
  if (entry.owner != mSelf || WasPaused(aNow) || minority) {
    return {};
  }
  if (tooEarly) {
    return TakeAdvance(aNow, entry) ? kGranted : RateVerdict{};
  }
  entry.bucket.Charge(aRepeats);
  RateVerdict verdict =
    VerdictOf(entry.bucket, aNow, aOrganisation.ratePerSecond, aOrganisation.burst);
  const bool isNew = aNow - entry.ownedSince < kAdvanceTime; // its bucket was empty
  const bool bridged =
    verdict.kind == RateVerdict::Kind::kExceeded && isNew && TakeAdvance(aNow, entry);
  return bridged ? kGranted : verdict;
}

/** The old owner may still count, and others may take themselves for the new one. */
bool RateOwner::TakeAdvance(TimePoint aNow, Entry& aEntry) const
{
  if (aEntry.advanced == TimePoint{} || aNow - aEntry.advanced > kAdvanceMemory) {
    aEntry.advanced = aNow;
    aEntry.advance = kAdvanceShare * mSettings.slack;
  }
  if (aEntry.advance < 1) {
    return false;
  }
  aEntry.advance -= 1;
  return true;
}

RateVerdict RateOwner::TakeLocalToken(TimePoint aNow, const Organisation& aOrganisation)
{
  Entry& entry = EntryOf(aOrganisation.name);
  const auto nodes = static_cast<double>(std::max(mKnown, std::max<std::size_t>(1, mLive.size())));
  const double burst = aOrganisation.burst / nodes;
  if (entry.partUsed == TimePoint{} || aNow - entry.partUsed > kPartMemory) {
    const double draw = std::uniform_real_distribution<>(0, 1)(mRandom);
    entry.part = TokenBucket(aNow, std::floor(burst + draw));
  }
  entry.partUsed = aNow;
  return VerdictOf(entry.part, aNow, aOrganisation.ratePerSecond / nodes, burst);
}

} // namespace mustardwinch
