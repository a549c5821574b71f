#include "limits/SliceOwner.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** Spent tokens are reported at once while more than this fraction of the burst is outstanding. */
constexpr double kSettleSoonFraction = 0.25;

double SecondsOf(Duration aSpan)
{
  return std::chrono::duration<double>(std::max(aSpan, Duration::zero())).count();
}

} // namespace

SliceOwner::SliceOwner(std::uint32_t aShard,
                       std::uint32_t aSlice,
                       std::uint32_t aSlices,
                       LeaseHolder aSelf,
                       LeaseTerms aTerms)
  : mShard(aShard)
  , mSlice(aSlice)
  , mSlices(aSlices)
  , mLease(std::move(aSelf), aTerms)
{
}

/**
 * Advances the share to aNow. The share changes at the end of each lease term. A term may have
 * ended while the process was paused, so each change is applied with its own time.
 */
void SliceOwner::Update(TimePoint aNow)
{
  if (mLease.IsHolding()) {
    for (TimePoint end : { mLease.FullEnd(), mLease.TailEnd() }) {
      if (mUpdatedAt < end && end <= aNow) {
        ApplyShare(mLease.ShareAt(end), end);
      }
    }
  }
  ApplyShare(mLease.ShareAt(aNow), aNow);
  mUpdatedAt = aNow;
}

void SliceOwner::ApplyShare(ShareMask aShare, TimePoint aTime)
{
  if (aShare == mShare) {
    return;
  }
  mShare = aShare;
  mShareConstantSince = aTime;
  for (auto& [name, entry] : mEntries) {
    entry.bucket.SetShare(mShare.PartOf(entry.slice), aTime);
  }
}

/**
 * Creates the bucket of an organisation that has had no tokens from this holder. Earlier holders
 * may have granted some, so the bucket starts with the level carried over plus what has accrued
 * since.
 */
void SliceOwner::AddEntry(const Organisation& aOrganisation, TimePoint aNow)
{
  const RateShare slice = ShareOfSlice(aOrganisation, mSlice, mSlices);
  const RateShare part = mShare.PartOf(slice);
  const auto carried = mCarried.find(aOrganisation.name);
  const bool known = carried != mCarried.end();
  const double accrued = part.ratePerSecond * SecondsOf(aNow - mShareConstantSince);
  SliceBucket bucket(part, accrued + (known ? carried->second.level : 0), aNow);
  if (aNow < mPriorGrantsExpiry) {
    const double whole = mLease.Start().reserveFullBurst ? part.burst : 0;
    bucket.Reserve(known ? carried->second.outstanding : whole, mPriorGrantsExpiry, aNow);
  }
  if (known) {
    mCarried.erase(carried);
  }
  mEntries.emplace(aOrganisation.name, Entry{ slice, std::move(bucket) });
}

void SliceOwner::ApplyConfig(const std::vector<Organisation>& aOrganisations, TimePoint aNow)
{
  Update(aNow);
  mOrganisations = aOrganisations;
  if (!mLease.IsHolding()) {
    return;
  }
  for (auto& [name, entry] : mEntries) {
    entry.configured = false;
  }
  for (const Organisation& it : mOrganisations) {
    const auto entry = mEntries.find(it.name);
    if (entry == mEntries.end()) {
      AddEntry(it, aNow);
      continue;
    }
    entry->second.configured = true;
    entry->second.slice = ShareOfSlice(it, mSlice, mSlices);
    entry->second.bucket.SetShare(mShare.PartOf(entry->second.slice), aNow);
  }
  // A deleted organisation keeps its bucket until it is full, so recreating it restores no burst.
  std::erase_if(mEntries, [](const auto& aPair) {
    return !aPair.second.configured && aPair.second.bucket.IsFull();
  });
}

LeaseAction SliceOwner::Next(const LeaseContext& aContext, TimePoint aNow)
{
  Update(aNow);
  return mLease.Next(aContext, aNow);
}

LeaseChange SliceOwner::OnRead(const Result<std::optional<StoredLease>>& aAnswer, TimePoint aNow)
{
  Update(aNow);
  const LeaseChange change = mLease.OnRead(aAnswer, aNow);
  OnChange(change, aNow);
  return change;
}

LeaseChange SliceOwner::OnWritten(const Result<StoredLease>& aAnswer, TimePoint aNow)
{
  Update(aNow);
  const LeaseChange change = mLease.OnWritten(aAnswer, aNow);
  OnChange(change, aNow);
  return change;
}

void SliceOwner::OnChange(LeaseChange aChange, TimePoint aNow)
{
  if (aChange == LeaseChange::kAcquired) {
    Begin(aNow);
  } else if (!mLease.IsHolding()) {
    mEntries.clear();
  }
  Update(aNow);
}

void SliceOwner::Begin(TimePoint aNow)
{
  const LeaseStart& start = mLease.Start();
  mEntries.clear();
  mCarried.clear();
  for (const CarriedLevel& it : start.levels) {
    mCarried.emplace(it.organisation, it);
  }
  mShare = mLease.ShareAt(aNow);
  mUpdatedAt = aNow;
  mPriorGrantsExpiry = aNow + LengthenedForDrift(mLease.Terms().grantLifetime);
  mShareConstantSince = start.reserveFullBurst ? mPriorGrantsExpiry : aNow;
  for (const Organisation& it : mOrganisations) {
    AddEntry(it, aNow);
  }
}

void SliceOwner::BeginRelease(TimePoint aNow)
{
  Update(aNow);
  std::vector<CarriedLevel> levels;
  for (auto& [name, entry] : mEntries) {
    entry.bucket.Advance(aNow);
    levels.push_back({ name, entry.bucket.Level(), entry.bucket.Outstanding() });
  }
  mLease.BeginRelease(std::move(levels));
  mEntries.clear();
  Update(aNow);
}

GrantReply SliceOwner::NotOwnerReply() const
{
  GrantReply reply;
  const auto& seen = mLease.Seen();
  const bool other = seen && !seen->record.released && seen->record.holder != mLease.Self();
  if (other) {
    reply.holder = seen->record.holder.link;
  }
  return reply;
}

GrantReply SliceOwner::EmptyReply(Entry& aEntry)
{
  ++aEntry.empty;
  GrantReply reply;
  reply.kind = GrantReply::Kind::kEmpty;
  reply.retryAfter = std::chrono::ceil<Milliseconds>(aEntry.bucket.TimeToNextToken());
  return reply;
}

GrantReply SliceOwner::Handle(const GrantRequest& aRequest, TimePoint aNow)
{
  Update(aNow);
  if (mShare.IsEmpty()) {
    return NotOwnerReply();
  }
  const auto it = mEntries.find(aRequest.organisation);
  if (it == mEntries.end() || !it->second.configured) {
    return NotOwnerReply(); // the configuration of this node or of the ingress is out of date
  }
  Entry& entry = it->second;
  SettleEntries(entry.bucket, aRequest.key, aRequest.entries, aNow);
  const Milliseconds lifetime = mLease.Terms().grantLifetime;
  const TimePoint expiry = aNow + LengthenedForDrift(lifetime);
  const std::uint32_t tokens =
    entry.bucket.Grant(aRequest.key, aRequest.need, aRequest.prefetch, expiry, aNow);
  if (tokens == 0) {
    return EmptyReply(entry);
  }
  entry.granted += tokens;
  GrantReply reply;
  reply.kind = GrantReply::Kind::kGranted;
  reply.tokens = tokens;
  reply.lifetime = lifetime;
  reply.settleSoon = entry.bucket.Outstanding() > kSettleSoonFraction * entry.bucket.Share().burst;
  return reply;
}

void SliceOwner::SettleEntries(SliceBucket& aBucket,
                               GrantKey aKey,
                               const std::vector<GrantEntry>& aEntries,
                               TimePoint aNow)
{
  for (const GrantEntry& it : aEntries) {
    aKey.sequence = it.sequence;
    aBucket.Settle(aKey, it.held, it.returned, aNow);
  }
}

void SliceOwner::Settle(const GrantSettlement& aSettlement, TimePoint aNow)
{
  Update(aNow);
  const auto it = mEntries.find(aSettlement.organisation);
  if (it != mEntries.end()) {
    SettleEntries(it->second.bucket, aSettlement.ingress, aSettlement.entries, aNow);
  }
}

SliceStatus::Term SliceOwner::TermAt(TimePoint aTime) const
{
  if (mLease.ShareAt(aTime).IsEmpty()) {
    return SliceStatus::Term::kNone;
  }
  return aTime < mLease.FullEnd() ? SliceStatus::Term::kFull : SliceStatus::Term::kTail;
}

SliceStatus SliceOwner::Status(TimePoint aNow)
{
  Update(aNow);
  SliceStatus status;
  status.shard = mShard;
  status.slice = mSlice;
  status.share = mShare;
  if (mLease.Seen()) {
    status.holder = mLease.Seen()->record.holder;
    status.tails = static_cast<std::uint32_t>(mLease.Seen()->record.tails.size());
  }
  if (mShare.IsEmpty()) {
    return status;
  }
  status.term = TermAt(aNow);
  const bool full = status.term == SliceStatus::Term::kFull;
  const TimePoint end = full ? mLease.FullEnd() : mLease.TailEnd();
  status.termLeft = std::chrono::floor<Milliseconds>(end - aNow);
  for (auto& [name, entry] : mEntries) {
    SliceBucket& bucket = entry.bucket;
    bucket.Advance(aNow);
    status.levels.push_back({ name,
                              bucket.Share().ratePerSecond,
                              bucket.Share().burst,
                              bucket.Level(),
                              bucket.Outstanding(),
                              entry.granted,
                              entry.empty });
  }
  return status;
}

} // namespace mustardwinch
