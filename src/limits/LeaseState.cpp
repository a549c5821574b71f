#include "limits/LeaseState.h"

#include <algorithm>
#include <cassert>

namespace mustardwinch {
namespace {

/** A holder renews after a third of the short term, so that two renewals may fail. */
constexpr int kRenewalsPerShortTerm = 3;

/** A failed platform call is retried after the short term divided by this. */
constexpr int kRetriesPerShortTerm = 6;

Milliseconds RoundedUp(Duration aSpan)
{
  return std::chrono::ceil<Milliseconds>(std::max(aSpan, Duration::zero()));
}

} // namespace

LeaseState::LeaseState(LeaseHolder aSelf, LeaseTerms aTerms)
  : mSelf(std::move(aSelf))
  , mTerms(aTerms)
{
  assert(mTerms.shortTerm > 2 * mTerms.grantLifetime);
  assert(mTerms.tailTerm >= mTerms.shortTerm);
  assert(mTerms.HasValidShare());
}

TimePoint LeaseState::FullEnd() const
{
  return mTermStart + ShortenedForDrift(mTerms.shortTerm) -
         LengthenedForDrift(mTerms.grantLifetime);
}

TimePoint LeaseState::TailEnd() const
{
  return mTermStart + ShortenedForDrift(mTerms.tailTerm) - LengthenedForDrift(mTerms.grantLifetime);
}

ShareMask LeaseState::ShareAt(TimePoint aTime) const
{
  if (!mHolding || aTime >= TailEnd()) {
    return {};
  }
  const ShareMask share = mSeen->record.share;
  return aTime < FullEnd() ? share : share.TailPart(mTerms.tailEighths);
}

LeaseAction LeaseState::Next(const LeaseContext& aContext, TimePoint aNow)
{
  if (mCallInFlight || aNow < mNextAt) {
    return {};
  }
  if (!IsInvolved() && !aContext.preferred) {
    return {};
  }
  if (mPending || !mObjectKnown) {
    mCallInFlight = true;
    return LeaseRead{};
  }
  const bool responsible = mHolding || mReleasing || mEndingTail;
  return responsible ? HolderAction(aContext, aNow) : CandidateAction(aContext, aNow);
}

LeaseAction LeaseState::HolderAction(const LeaseContext& aContext, TimePoint aNow)
{
  if (mReleasing) {
    LeaseRecord record = OwnRecord(aContext, aNow);
    record.released = true;
    record.levels = mReleaseLevels;
    return Send(Purpose::kRelease, std::move(record), {}, aNow);
  }
  if (mEndingTail) {
    return Send(Purpose::kEndTail, EndedTailRecord(), {}, aNow);
  }
  const bool early = aNow < mTermStart + Duration(mTerms.shortTerm) / kRenewalsPerShortTerm;
  if (early && !mReclaiming) {
    return {};
  }
  return Send(Purpose::kHold, OwnRecord(aContext, aNow), {}, aNow);
}

LeaseAction LeaseState::CandidateAction(const LeaseContext& aContext, TimePoint aNow)
{
  if (mLostTermsUntil) {
    if (aNow < *mLostTermsUntil) {
      return {};
    }
    mLostTermsUntil.reset(); // the holder may have written the lease again meanwhile
    mCallInFlight = true;
    return LeaseRead{};
  }
  LeaseAction action = TakeOver(aContext, aNow);
  if (!std::holds_alternative<std::monostate>(action)) {
    return action;
  }
  if (aNow < mSeenAt + LengthenedForDrift(mSeen->record.terms.shortTerm)) {
    return {};
  }
  mCallInFlight = true;
  return LeaseRead{};
}

LeaseAction LeaseState::TakeOver(const LeaseContext& aContext, TimePoint aNow)
{
  if (!mSeen) {
    return Send(Purpose::kHold, OwnRecord(aContext, aNow), { {}, mHistoryLost }, aNow);
  }
  const LeaseRecord& old = mSeen->record;
  if (old.released) {
    const bool outdated = mSeen->copied && mHistoryLost; // it may have been held since
    const LeaseStart start = outdated ? LeaseStart{ {}, true } : LeaseStart{ old.levels, false };
    return Send(Purpose::kHold, OwnRecord(aContext, aNow), start, aNow);
  }
  if (IsSelf(old.holder) || aContext.isTerminated(old.holder)) {
    return Send(Purpose::kHold, OwnRecord(aContext, aNow), { {}, true }, aNow);
  }
  if (mReadAt < mSeenAt + LengthenedForDrift(old.terms.shortTerm)) {
    return {}; // the version has not been seen unchanged for the whole short term
  }
  const TimePoint tailEnd = mSeenAt + LengthenedForDrift(old.terms.tailTerm);
  LeaseRecord record = OwnRecord(aContext, aNow);
  if (aNow < tailEnd) {
    const ShareMask tail = old.share.TailPart(old.terms.tailEighths);
    record.share = record.share.Without(tail);
    record.tails.push_back({ old.holder, tail, RoundedUp(tailEnd - aNow) });
  }
  return Send(Purpose::kHold, std::move(record), {}, aNow);
}

LeaseAction LeaseState::Send(Purpose aPurpose,
                             LeaseRecord aRecord,
                             LeaseStart aStart,
                             TimePoint aNow)
{
  const std::string operation =
    mSelf.name + "/" + std::to_string(mSelf.incarnation) + "/" + std::to_string(++mOperations);
  const std::uint64_t version = mSeen ? mSeen->version : 0;
  mPending =
    Pending{ aPurpose, { std::move(aRecord), version, operation }, std::move(aStart), aNow };
  mCallInFlight = true;
  return mPending->write;
}

void LeaseState::ShortenTerminatedTails(const LeaseContext& aContext, TimePoint aNow)
{
  for (TrackedTail& it : mTails) {
    if (aContext.isTerminated(it.tail.holder)) {
      it.end = std::min(it.end, aNow + LengthenedForDrift(mTerms.grantLifetime));
    }
  }
}

/** A lease record with this node as holder. Ended tails are merged into the holder's share. */
LeaseRecord LeaseState::OwnRecord(const LeaseContext& aContext, TimePoint aNow)
{
  ShortenTerminatedTails(aContext, aNow);
  LeaseRecord record;
  record.holder = mSelf;
  record.terms = mTerms;
  if (!mSeen) {
    return record;
  }
  record.share = mSeen->record.share;
  for (const TrackedTail& it : mTails) {
    if (it.end <= aNow) {
      record.share = record.share.With(it.tail.share);
    } else {
      record.tails.push_back({ it.tail.holder, it.tail.share, RoundedUp(it.end - aNow) });
    }
  }
  return record;
}

/** The current record with this node's own tail shortened to the expiry of its last grants. */
LeaseRecord LeaseState::EndedTailRecord() const
{
  LeaseRecord record = mSeen->record;
  const Milliseconds last = RoundedUp(LengthenedForDrift(mTerms.grantLifetime));
  for (LeaseTail& it : record.tails) {
    if (IsSelf(it.holder)) {
      it.remaining = std::min(it.remaining, last);
    }
  }
  return record;
}

bool LeaseState::HasOwnTail() const
{
  const auto& tails = mSeen->record.tails;
  return std::any_of(
    tails.begin(), tails.end(), [&](const LeaseTail& aTail) { return IsSelf(aTail.holder); });
}

/** Tail end times already tracked by this node are kept only if the record is its own write. */
void LeaseState::SetSeen(const StoredLease& aStored, bool aOwnWrite, TimePoint aNow)
{
  mObjectKnown = true;
  if (mSeen && mSeen->version == aStored.version) {
    return;
  }
  std::vector<TrackedTail> tails;
  for (const LeaseTail& tail : aStored.record.tails) {
    TimePoint end = aNow + LengthenedForDrift(tail.remaining);
    for (const TrackedTail& known : mTails) {
      if (aOwnWrite && known.tail.holder == tail.holder && known.tail.share == tail.share) {
        end = std::min(end, known.end);
      }
    }
    tails.push_back({ tail, end });
  }
  mTails = std::move(tails);
  mSeen = aStored;
  mSeenAt = aNow;
}

LeaseChange LeaseState::OnRead(const Result<std::optional<StoredLease>>& aAnswer, TimePoint aNow)
{
  mCallInFlight = false;
  const LeaseChange change = ApplyRead(aAnswer, aNow);
  if (mRereadRequested) {
    mRereadRequested = false;
    mObjectKnown = mHolding;
  }
  return change;
}

LeaseChange LeaseState::ApplyRead(const Result<std::optional<StoredLease>>& aAnswer, TimePoint aNow)
{
  if (!aAnswer) {
    mNextAt = aNow + Duration(mTerms.shortTerm) / kRetriesPerShortTerm;
    return LeaseChange::kNone;
  }
  mReadAt = aNow;
  const std::optional<StoredLease>& stored = aAnswer.Value();
  const bool stale = stored && mSeen && stored->version < mSeen->version;
  if (stale) {
    mNextAt = aNow + Duration(mTerms.shortTerm) / kRetriesPerShortTerm;
    return LeaseChange::kNone;
  }
  if (stored) {
    return ApplyStored(*stored, aNow);
  }
  mPending.reset();
  if (MayReclaim(aNow)) {
    KeepLost(0);
    return LeaseChange::kNone;
  }
  // The object does not exist: an operator deleted it, or it was never written.
  const bool lost = mHolding;
  mSeen.reset();
  mTails.clear();
  mObjectKnown = true;
  mHolding = false;
  mReleasing = false;
  mEndingTail = false;
  return lost ? LeaseChange::kLost : LeaseChange::kNone;
}

/** Applies a record that was read: this node's write whose reply was lost, or another node's. */
LeaseChange LeaseState::ApplyStored(const StoredLease& aStored, TimePoint aNow)
{
  if (mPending && mPending->write.operation == aStored.operation) {
    return Confirm(aStored, aNow);
  }
  mPending.reset();
  if (aStored.copied && MayReclaim(aNow)) {
    KeepLost(aStored.version);
    return LeaseChange::kNone;
  }
  SetSeen(aStored, false, aNow);
  const bool own = IsSelf(aStored.record.holder);
  if (own && !aStored.record.released) {
    return LeaseChange::kNone;
  }
  const bool lost = mHolding;
  const bool released = own && mReleasing; // by an earlier write that took effect late
  mHolding = false;
  mReleasing = false;
  mEndingTail = HasOwnTail();
  if (released) {
    return LeaseChange::kReleased;
  }
  return lost ? LeaseChange::kLost : LeaseChange::kNone;
}

/** Whether this node's own lease is the one in force, whatever the platform has in its place. */
bool LeaseState::MayReclaim(TimePoint aNow) const
{
  return mReclaiming && mHolding && aNow < FullEnd();
}

/** Keeps the lease as it was, to be written in place of what the platform has. */
void LeaseState::KeepLost(std::uint64_t aStoredVersion)
{
  mObjectKnown = true;
  mSeen->version = aStoredVersion;
}

void LeaseState::OnHistoryReplaced(TimePoint aSince)
{
  mLostTermsUntil = aSince + LengthenedForDrift(mTerms.shortTerm);
  mHistoryLost = true;
  mReclaiming = mHolding;
  mObjectKnown = false;
}

LeaseChange LeaseState::Confirm(const StoredLease& aStored, TimePoint aNow)
{
  const Pending pending = std::move(*mPending);
  mPending.reset();
  SetSeen(aStored, true, aNow);
  if (pending.purpose == Purpose::kRelease) {
    mReleasing = false;
    return LeaseChange::kReleased;
  }
  if (pending.purpose == Purpose::kEndTail) {
    mEndingTail = false;
    return LeaseChange::kNone;
  }
  if (mReleasing) {
    return LeaseChange::kNone; // a renewal that was in flight when the release began
  }
  mTermStart = pending.sent;
  mReclaiming = false;
  mLostTermsUntil.reset();
  if (mHolding) {
    return LeaseChange::kRenewed;
  }
  mHolding = true;
  mHistoryLost = false;
  mStart = pending.start;
  return LeaseChange::kAcquired;
}

LeaseChange LeaseState::OnWritten(const Result<StoredLease>& aAnswer, TimePoint aNow)
{
  assert(mPending);
  mCallInFlight = false;
  if (aAnswer) {
    return Confirm(aAnswer.Value(), aNow);
  }
  // On a conflict or an unknown outcome, the next action reads the object again.
  const std::error_code ec = aAnswer.Error().code;
  const bool decided = ec == make_error_code(ResultCode::kPlatformConflict) ||
                       ec == make_error_code(ResultCode::kPlatformUnclear);
  if (!decided) {
    mNextAt = aNow + Duration(mTerms.shortTerm) / kRetriesPerShortTerm;
  }
  return LeaseChange::kNone;
}

std::vector<LeaseHolder> LeaseState::OtherHolders() const
{
  std::vector<LeaseHolder> holders;
  if (!mSeen) {
    return holders;
  }
  if (!IsSelf(mSeen->record.holder) && !mSeen->record.released) {
    holders.push_back(mSeen->record.holder);
  }
  for (const LeaseTail& it : mSeen->record.tails) {
    if (!IsSelf(it.holder)) {
      holders.push_back(it.holder);
    }
  }
  return holders;
}

void LeaseState::BeginRelease(std::vector<CarriedLevel> aLevels)
{
  if (!mHolding) {
    return;
  }
  mHolding = false;
  mReleasing = true;
  mNextAt = TimePoint();
  mReleaseLevels = std::move(aLevels);
}

void LeaseState::RequestReread(TimePoint aNow)
{
  if (!mHolding && !mPending) {
    mNextAt = std::min(mNextAt, aNow);
    mObjectKnown = false;
    mRereadRequested = mCallInFlight;
  }
}

} // namespace mustardwinch
