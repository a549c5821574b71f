#include "quota/LocalRateShares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mustardwinch {
namespace {

/** A share that was not used for this long starts over; a takeover is complete by then. */
constexpr Seconds kShareMaxIdle{ 5 };

/** Fraction of the overrun for advances, and as much for shares that start over. */
constexpr double kOverrunFraction = 0.5;

/** Time until an organisation may try again to take an advance. */
constexpr Milliseconds kAdvanceWait{ 400 };

const RateVerdict kGranted{ RateVerdict::Kind::kGranted, {}, {} };

} // namespace

LocalRateShares::LocalRateShares(const std::string& aSelf, const RateSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(XXH64(aSelf.data(), aSelf.size(), 0))
{
}

double LocalRateShares::Nodes() const
{
  return static_cast<double>(std::max({ mFleet.known, mFleet.alive.size(), std::size_t{ 1 } }));
}

/** Rounds so that the sum over all nodes is kept although each can only grant whole tokens. */
double LocalRateShares::RoundAtRandom(double aTokens)
{
  return std::floor(aTokens + std::uniform_real_distribution<>(0, 1)(mRandom));
}

/** Tokens of all nodes together. */
double LocalRateShares::OverrunPart(const Organisation& aOrganisation) const
{
  const double seconds = std::chrono::duration<double>(mSettings.window).count();
  const double allowed = aOrganisation.ratePerSecond * seconds + aOrganisation.burst;
  return kOverrunFraction * mSettings.overrun * allowed;
}

RateVerdict LocalRateShares::Take(TimePoint aNow,
                                  const Organisation& aOrganisation,
                                  bool aOwnerIsNew)
{
  Entry& entry = mEntries[aOrganisation.name];
  if (entry.silentSince == TimePoint{}) {
    entry.silentSince = aNow;
  }
  const bool justStarted = mFleet.majorityHeard == TimePoint{};
  // An owner that is cut off stops within the detection time.
  const bool ownerIsGone =
    justStarted || mFleet.majorityHeard > entry.silentSince + mFleet.detection;
  // The time since which most VMs have been heard may be one heartbeat older than the cut.
  const bool outOfContact = aNow - mFleet.majorityHeard > 2 * mFleet.detection;
  if (!aOwnerIsNew && !ownerIsGone && !outOfContact) {
    return TakeAdvance(aNow, entry, aOrganisation);
  }
  if (entry.shareUsed == TimePoint{} || aNow - entry.shareUsed > kShareMaxIdle) {
    // The owner may have granted the whole burst until now, but not if all nodes have just started.
    const bool noOwnerBefore = justStarted || mFleet.restarted;
    const double level = noOwnerBefore ? aOrganisation.burst : OverrunPart(aOrganisation);
    entry.share = TokenBucket(aNow, RoundAtRandom(level / Nodes()));
  }
  return TakeShare(aNow, entry, aOrganisation);
}

RateVerdict LocalRateShares::TakeShare(TimePoint aNow,
                                       Entry& aEntry,
                                       const Organisation& aOrganisation)
{
  const double rate = aOrganisation.ratePerSecond / Nodes();
  aEntry.shareUsed = aNow;
  if (aEntry.share.TryTake(aNow, rate, aOrganisation.burst / Nodes())) {
    return kGranted;
  }
  const auto wait = std::chrono::ceil<Milliseconds>(aEntry.share.TimeToToken(rate));
  return { RateVerdict::Kind::kExceeded, wait, {} };
}

RateVerdict LocalRateShares::TakeAdvance(TimePoint aNow,
                                         Entry& aEntry,
                                         const Organisation& aOrganisation)
{
  const double part = OverrunPart(aOrganisation) / Nodes();
  if (aEntry.advanceUsed == TimePoint{} || aNow - aEntry.advanceUsed > mSettings.window) {
    aEntry.advances = RoundAtRandom(part);
  }
  aEntry.advances = std::min(aEntry.advances, std::ceil(part)); // the rate may have been lowered
  if (aEntry.advances < 1) {
    return { RateVerdict::Kind::kExceeded, kAdvanceWait, {} };
  }
  aEntry.advanceUsed = aNow;
  aEntry.advances -= 1;
  ++aEntry.uncharged;
  return kGranted;
}

std::uint32_t LocalRateShares::TakeUncharged(const std::string& aOrganisation)
{
  return std::exchange(mEntries[aOrganisation].uncharged, 0);
}

void LocalRateShares::OnOwnerAnswered(const std::string& aOrganisation, std::uint32_t aCharged)
{
  Entry& entry = mEntries[aOrganisation];
  entry.silentSince = {};
  entry.advances += aCharged;
}

void LocalRateShares::OnOwnerSilent(TimePoint aNow,
                                    const std::string& aOrganisation,
                                    std::uint32_t aUncharged)
{
  Entry& entry = mEntries[aOrganisation];
  entry.uncharged += aUncharged;
  if (entry.silentSince == TimePoint{}) {
    entry.silentSince = aNow;
  }
}

} // namespace mustardwinch
