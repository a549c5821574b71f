#include "quota/RateOwner.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** All nodes detect the loss of a VM within this time; until then a new owner grants no tokens
 * except out of the slack. */
constexpr Milliseconds kTakeoverDelay{ 1'500 };

/** A node that was suspended for longer may have been replaced as owner without noticing: its peers
 * consider it lost after three missed heartbeats. */
constexpr Milliseconds kMaxTickGap{ 1'500 };

/** Fraction of the slack that one new owner grants. Two nodes may do so for the same organisation,
 * and the local shares of the nodes need the rest. */
constexpr double kSlackFraction = 0.4;

/** Time from the start of a takeover in which the new owner's bucket may lack tokens that the old
 * owner's bucket had. */
constexpr Seconds kSlackPeriod{ 3 };

/** Longer than the window to which the slack applies. */
constexpr Seconds kSlackRefillInterval{ 10 };

const RateVerdict kGranted{ RateVerdict::Kind::kGranted, {}, {} };
const RateVerdict kNotYet{ RateVerdict::Kind::kNotYet, {}, {} };

RateVerdict TakeFrom(TokenBucket& aBucket, TimePoint aNow, double aRate, double aBurst)
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
                            std::vector<std::string> aReachableVms,
                            const std::string& aSelf)
{
  std::erase(aReachableVms, aSelf);
  return RateOwnerOf(aOrganisation, aReachableVms);
}

std::size_t RankFor(const std::string& aTask,
                    const std::vector<std::string>& aLiveVms,
                    const std::string& aVm)
{
  const XXH64_hash_t seed = XXH64(aTask.data(), aTask.size(), 0);
  const XXH64_hash_t own = XXH64(aVm.data(), aVm.size(), seed);
  return static_cast<std::size_t>(
    std::count_if(aLiveVms.begin(), aLiveVms.end(), [&](const std::string& aOther) {
      return XXH64(aOther.data(), aOther.size(), seed) > own;
    }));
}

void SortByRank(const std::string& aTask, std::vector<std::string>& aVms)
{
  const XXH64_hash_t seed = XXH64(aTask.data(), aTask.size(), 0);
  const auto score = [seed](const std::string& aVm) { return XXH64(aVm.data(), aVm.size(), seed); };
  std::sort(aVms.begin(), aVms.end(), [&](const std::string& aOne, const std::string& aTwo) {
    return score(aOne) > score(aTwo);
  });
}

RateOwner::RateOwner(std::string aSelf, TimePoint aStart, const RateSettings& aSettings)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mFleetChanged(aStart)
  , mLastSetFleet(aStart)
{
}

bool RateOwner::SetFleet(TimePoint aNow, const RateFleetView& aFleet)
{
  const bool suspended = WasSuspended(aNow);
  // While it had no contact with most VMs there may have been another owner.
  const bool startsOver = suspended || (IsMinority(mFleet) && !IsMinority(aFleet));
  mLastSetFleet = aNow;
  const bool restartBegins = aFleet.restarted && !mFleet.restarted;
  const bool changed = aFleet.alive != mFleet.alive || startsOver || restartBegins;
  mFleet = aFleet;
  mFleet.known = std::max<std::size_t>(1, aFleet.known);
  if (!changed) {
    return false;
  }
  // If all VMs have just started, there is no previous owner to wait for.
  mFleetChanged = aFleet.restarted && !suspended ? aNow - kTakeoverDelay : aNow;
  for (auto& [organisation, entry] : mEntries) {
    std::string owner = RateOwnerOf(organisation, mFleet.alive);
    if (owner != entry.owner || startsOver || entry.ownedSince > mFleetChanged) {
      entry.ownedSince = mFleetChanged;
      // The nodes use their local shares until then.
      entry.bucket = TokenBucket(mFleetChanged + kTakeoverDelay);
      entry.owner = std::move(owner);
    }
  }
  return true;
}

bool RateOwner::WasSuspended(TimePoint aNow) const
{
  return aNow - mLastSetFleet > kMaxTickGap;
}

/** An owner that is cut off stops before its peers have chosen another one. */
bool RateOwner::HasMajority(TimePoint aNow) const
{
  return !IsMinority(mFleet) && aNow - mFleet.majorityHeard <= mFleet.detection;
}

double RateOwner::OwnedFraction() const
{
  const std::size_t reached = std::clamp<std::size_t>(mFleet.reached, 1, mFleet.known);
  return static_cast<double>(reached) / static_cast<double>(mFleet.known);
}

RateOwner::Entry& RateOwner::EntryOf(const std::string& aOrganisation)
{
  const auto it = mEntries.find(aOrganisation);
  if (it != mEntries.end()) {
    return it->second;
  }
  Entry entry{ RateOwnerOf(aOrganisation, mFleet.alive),
               mFleetChanged,
               TokenBucket(mFleetChanged + kTakeoverDelay) };
  return mEntries.emplace(aOrganisation, std::move(entry)).first->second;
}

const std::string& RateOwner::OwnerOf(const std::string& aOrganisation)
{
  return EntryOf(aOrganisation).owner;
}

RateVerdict RateOwner::Take(TimePoint aNow,
                            const Organisation& aOrganisation,
                            std::uint32_t aRetries)
{
  Entry& entry = EntryOf(aOrganisation.name);
  const bool tooEarly = aNow - entry.ownedSince < kTakeoverDelay;
  if (entry.owner != mSelf || WasSuspended(aNow) || !HasMajority(aNow)) {
    return {};
  }
  if (tooEarly) {
    if (!TakeSlackToken(aNow, entry)) {
      return kNotYet;
    }
    entry.bucket.Charge(aRetries);
    return kGranted;
  }
  entry.bucket.Charge(aRetries);
  const double fraction = OwnedFraction();
  RateVerdict verdict = TakeFrom(
    entry.bucket, aNow, aOrganisation.ratePerSecond * fraction, aOrganisation.burst * fraction);
  const bool isNew = aNow - entry.ownedSince < kSlackPeriod; // its bucket started empty
  const bool grantedFromSlack =
    verdict.kind == RateVerdict::Kind::kExceeded && isNew && TakeSlackToken(aNow, entry);
  return grantedFromSlack ? kGranted : verdict;
}

/** Limited to the slack, as the old owner may still grant tokens and other nodes may consider
 * themselves the new owner. */
bool RateOwner::TakeSlackToken(TimePoint aNow, Entry& aEntry) const
{
  if (aEntry.slackRefilled == TimePoint{} || aNow - aEntry.slackRefilled > kSlackRefillInterval) {
    aEntry.slackRefilled = aNow;
    aEntry.slackTokens = kSlackFraction * mSettings.slack;
  }
  if (aEntry.slackTokens < 1) {
    return false;
  }
  aEntry.slackTokens -= 1;
  return true;
}

} // namespace mustardwinch
