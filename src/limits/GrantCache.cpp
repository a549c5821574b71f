#include "limits/GrantCache.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mustardwinch {
namespace {

/** Time constant of the demand average. */
constexpr Milliseconds kDemandAveragingTime{ 1000 };

/** A prefetch covers the demand of this duration. */
constexpr Milliseconds kPrefetchTime{ 250 };

/** Unused tokens are returned to the owner after this time without demand. */
constexpr Milliseconds kReturnAfterIdle{ 300 };

/** The state of an organisation without demand is dropped after this time. */
constexpr Milliseconds kForgetAfter{ 60'000 };

/** If the owner has not answered in this time, the other slice is asked as well. */
constexpr Milliseconds kHedgeDelay{ 10 };

/** Upper limit of the time for which an owner that replied kEmpty is not asked again. */
constexpr Milliseconds kMaxEmptyBackoff{ 100 };

constexpr Milliseconds kRetryDelay{ 20 };
constexpr Milliseconds kUnreachableRetryDelay{ 200 };

/** After this many consecutive failures an owner counts as unreachable and is not waited for. */
constexpr unsigned kUnreachableFailures = 3;

} // namespace

GrantCache::GrantCache(const Options& aOptions, std::string aOrganisation, unsigned aFirstSlice)
  : mOptions(aOptions)
  , mOrganisation(std::move(aOrganisation))
  , mSlices(aOptions.slices)
  , mUsable(aOptions.slices)
  , mFirstSlice(aFirstSlice)
{
}

double GrantCache::DemandRate(TimePoint aNow) const
{
  const double spans = std::chrono::duration<double>(aNow - mDemandAt) / kDemandAveragingTime;
  return mDemand * std::exp(-spans);
}

void GrantCache::RecordDemand(TimePoint aNow)
{
  const double perSecond = std::chrono::duration<double>(kDemandAveragingTime).count();
  mDemand = DemandRate(aNow) + 1 / perSecond;
  mDemandAt = aNow;
}

std::uint32_t GrantCache::PrefetchTarget(TimePoint aNow) const
{
  const double rate = DemandRate(aNow);
  if (rate < mOptions.prefetchFromRate) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::ceil(rate * std::chrono::duration<double>(kPrefetchTime).count()));
}

void GrantCache::Expire(TimePoint aNow)
{
  std::erase_if(mHeld, [&](const HeldGrant& aHeld) { return aHeld.expiry <= aNow; });
}

unsigned GrantCache::Tokens(TimePoint aNow) const
{
  unsigned n = 0;
  for (const HeldGrant& it : mHeld) {
    n += it.expiry > aNow ? it.tokens : 0;
  }
  return n;
}

bool GrantCache::Spend(TimePoint aNow)
{
  Expire(aNow);
  HeldGrant* best = nullptr;
  for (HeldGrant& it : mHeld) {
    const bool sooner = best == nullptr || it.expiry < best->expiry;
    if (it.tokens > 0 && sooner) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return false;
  }
  --best->tokens;
  return true;
}

std::uint32_t GrantCache::UncoveredNeed(unsigned aWaiting, TimePoint aNow) const
{
  std::uint32_t covered = Tokens(aNow);
  for (const Slice& it : mSlices) {
    const bool fresh = it.inFlight && aNow - it.inFlight->sent < kHedgeDelay;
    covered += fresh ? it.inFlight->need : 0;
  }
  return aWaiting > covered ? aWaiting - covered : 0;
}

bool GrantCache::CanRequest(const Slice& aSlice, TimePoint aNow) const
{
  return !aSlice.inFlight && aSlice.emptyUntil <= aNow && aSlice.retryAt <= aNow;
}

std::optional<unsigned> GrantCache::SelectSlice(TimePoint aNow) const
{
  std::optional<unsigned> best;
  for (unsigned i = 0; i < mUsable; ++i) {
    const unsigned slice = (mFirstSlice + i) % mUsable;
    if (!CanRequest(mSlices[slice], aNow)) {
      continue;
    }
    if (!best || mSlices[slice].lastDenied < mSlices[*best].lastDenied) {
      best = slice;
    }
  }
  return best;
}

std::optional<GrantRequest> GrantCache::NextRequest(unsigned aWaiting,
                                                    std::uint64_t aSequence,
                                                    TimePoint aNow)
{
  Expire(aNow);
  const std::uint32_t need = UncoveredNeed(aWaiting, aNow);
  const std::uint32_t wanted = PrefetchTarget(aNow);
  const std::uint32_t held = Tokens(aNow);
  const bool asking = std::any_of(mSlices.begin(), mSlices.end(), [](const Slice& aSlice) {
    return aSlice.inFlight.has_value();
  });
  const bool low = wanted > 0 && held <= wanted / 2 && !asking && mPrefetchAt <= aNow;
  if (need == 0 && !low) {
    return std::nullopt;
  }
  const auto slice = SelectSlice(aNow);
  if (!slice) {
    return std::nullopt;
  }
  GrantRequest request;
  request.key = mOptions.self;
  request.key.sequence = aSequence;
  request.organisation = mOrganisation;
  request.slice = *slice;
  request.need = need;
  request.prefetch = wanted > held ? wanted - held : 0;
  request.entries = TakeEntries(*slice);
  mSlices[*slice].inFlight = InFlight{ aSequence, need, aNow };
  return request;
}

/** All grants of the slice. Entries of spent or abandoned grants are reported only once. */
std::vector<GrantEntry> GrantCache::TakeEntries(unsigned aSlice)
{
  std::vector<GrantEntry> entries;
  for (const HeldGrant& it : mHeld) {
    if (it.slice == aSlice) {
      entries.push_back({ it.sequence, it.tokens, 0 });
    }
  }
  std::erase_if(mHeld,
                [&](const HeldGrant& aHeld) { return aHeld.slice == aSlice && aHeld.tokens == 0; });
  for (std::uint64_t it : mSlices[aSlice].abandoned) {
    entries.push_back({ it, 0, GrantEntry::kAll });
  }
  mSlices[aSlice].abandoned.clear();
  return entries;
}

GrantCache::Slice* GrantCache::FindInFlight(std::uint64_t aSequence)
{
  for (Slice& it : mSlices) {
    if (it.inFlight && it.inFlight->sequence == aSequence) {
      return &it;
    }
  }
  return nullptr;
}

void GrantCache::OnReply(std::uint64_t aSequence, const GrantReply& aReply, TimePoint aNow)
{
  Slice* slice = FindInFlight(aSequence);
  if (slice == nullptr) {
    return;
  }
  if (aReply.kind == GrantReply::Kind::kNotOwner) {
    OnFailure(aSequence, aNow);
    return;
  }
  const InFlight asked = *std::exchange(slice->inFlight, std::nullopt);
  slice->failures = 0;
  if (aReply.kind == GrantReply::Kind::kEmpty) {
    slice->emptyUntil = aNow + std::min<Duration>(aReply.retryAfter, kMaxEmptyBackoff);
    mPrefetchAt = aNow + kMaxEmptyBackoff;
    if (asked.need > 0) {
      slice->lastDenied =
        aSequence; // for a pure prefetch, kEmpty only means that there is no surplus
    }
    return;
  }
  const auto index = static_cast<unsigned>(slice - mSlices.data());
  slice->lastDenied = 0;
  slice->emptyUntil = TimePoint();
  mFirstSlice = index + 1; // round robin, so that no slice stays full while another is drained
  mHeld.push_back(
    { aSequence, index, aReply.tokens, asked.sent + aReply.lifetime, aReply.settleSoon });
}

void GrantCache::OnFailure(std::uint64_t aSequence, TimePoint aNow)
{
  Slice* slice = FindInFlight(aSequence);
  if (slice == nullptr) {
    return;
  }
  slice->inFlight.reset();
  slice->lastDenied = aSequence;
  ++slice->failures;
  slice->retryAt =
    aNow + (slice->failures < kUnreachableFailures ? kRetryDelay : kUnreachableRetryDelay);
  slice->abandoned.push_back(aSequence);
}

GrantCache::Verdict GrantCache::VerdictFor(std::uint64_t aFirstSequence, TimePoint aNow) const
{
  bool lost = false;
  for (unsigned i = 0; i < mUsable; ++i) {
    const Slice& it = mSlices[i];
    const bool saidEmpty =
      it.emptyUntil > aNow || (it.failures == 0 && it.lastDenied >= aFirstSequence);
    if (saidEmpty) {
      continue;
    }
    const bool counted = it.failures >= kUnreachableFailures && it.retryAt > aNow;
    if (!counted) {
      return Verdict::kWait;
    }
    lost = true;
  }
  return lost ? Verdict::kUnconfirmed : Verdict::kExceeded;
}

std::optional<GrantSettlement> GrantCache::TakeSettlement(TimePoint aNow)
{
  Expire(aNow);
  const bool idle = aNow - mDemandAt >= kReturnAfterIdle;
  for (const HeldGrant& it : mHeld) {
    const bool spent = it.tokens == 0 && it.settleSoon;
    if (!idle && !spent) {
      continue;
    }
    const unsigned slice = it.slice;
    GrantSettlement settlement{ mOptions.self, mOrganisation, slice, {} };
    for (GrantEntry entry : TakeEntries(slice)) {
      const bool giveBack = idle && entry.returned == 0;
      entry.returned = giveBack ? std::exchange(entry.held, 0U) : entry.returned;
      settlement.entries.push_back(entry);
    }
    if (idle) {
      std::erase_if(mHeld, [&](const HeldGrant& aHeld) { return aHeld.slice == slice; });
    }
    return settlement;
  }
  return std::nullopt;
}

bool GrantCache::IsIdle(TimePoint aNow) const
{
  const bool asking = std::any_of(mSlices.begin(), mSlices.end(), [](const Slice& aSlice) {
    return aSlice.inFlight.has_value();
  });
  return !asking && Tokens(aNow) == 0 && aNow - mDemandAt >= kForgetAfter;
}

} // namespace mustardwinch
