#pragma once

#include "limits/LeaseAction.h"
#include "limits/LeaseChange.h"
#include "limits/LeaseContext.h"
#include "limits/LeaseStart.h"
#include "limits/StoredLease.h"
#include "mustardwinch/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * The lease of one slice as one node sees it. Decides when to read and write the lease object and
 * what this node may grant. Time and answers come in, actions come out; nothing blocks.
 *
 * The right is counted from before the write that brought it was sent. It is full for the short
 * term and a part of it for the tail term. A successor waits for the whole short term on its own
 * clock since it first saw the version that did not change, and leaves the part that the old
 * holder's terms name alone until the tail is over or the old holder is known to be gone.
 */
class LeaseState
{
public:
  LeaseState(LeaseHolder aSelf, LeaseTerms aTerms);

  /** What to do on the platform now. At most one action is under way at a time. */
  LeaseAction Next(const LeaseContext& aContext, TimePoint aNow);

  /** Answer to LeaseRead: nothing if there is no such object. */
  LeaseChange OnRead(const Result<std::optional<StoredLease>>& aAnswer, TimePoint aNow);

  /** Answer to LeaseWrite. */
  LeaseChange OnWritten(const Result<StoredLease>& aAnswer, TimePoint aNow);

  /** Stops granting and gives the lease to whoever comes next, with these levels. */
  void BeginRelease(std::vector<CarriedLevel> aLevels);

  /** Makes a node that waits look again now: members changed, or a holder has released. */
  void RequestReread(TimePoint aNow);

  bool IsHolding() const { return mHolding; }
  bool IsReleasing() const { return mReleasing; }

  /** Holds the lease, or has not finished giving it up. */
  bool IsInvolved() const { return mHolding || mReleasing || mEndingTail || mPending; }

  /** The processes that the lease names besides this one. */
  std::vector<LeaseHolder> OtherHolders() const;

  /** What this node may grant at a time; empty if nothing. */
  ShareMask ShareAt(TimePoint aTime) const;

  /** When the full right, and when the tail's part, stops for new grants. Only while holding. */
  TimePoint FullEnd() const;
  TimePoint TailEnd() const;

  /** When the write that brought the present right was sent. Only while holding. */
  TimePoint TermStart() const { return mTermStart; }

  /** What the holder that just acquired begins with. */
  const LeaseStart& Start() const { return mStart; }

  const std::optional<StoredLease>& Seen() const { return mSeen; }
  const LeaseHolder& Self() const { return mSelf; }
  const LeaseTerms& Terms() const { return mTerms; }

private:
  enum class Purpose : std::uint8_t
  {
    kHold,    //!< acquire or renew
    kRelease, //!< give the lease up with its levels
    kEndTail, //!< shorten the own tail in somebody else's lease
  };

  struct Pending
  {
    Purpose purpose = Purpose::kHold;
    LeaseWrite write;
    LeaseStart start;
    TimePoint sent;
  };

  struct TrackedTail
  {
    LeaseTail tail;
    TimePoint end;
  };

  LeaseAction HolderAction(const LeaseContext& aContext, TimePoint aNow);
  LeaseAction CandidateAction(const LeaseContext& aContext, TimePoint aNow);
  LeaseAction TakeOver(const LeaseContext& aContext, TimePoint aNow);
  LeaseAction Send(Purpose aPurpose, LeaseRecord aRecord, LeaseStart aStart, TimePoint aNow);
  LeaseRecord OwnRecord(const LeaseContext& aContext, TimePoint aNow);
  LeaseRecord EndedTailRecord() const;
  LeaseChange ApplyRead(const Result<std::optional<StoredLease>>& aAnswer, TimePoint aNow);
  LeaseChange Confirm(const StoredLease& aStored, TimePoint aNow);
  LeaseChange Judge(const StoredLease& aStored, TimePoint aNow);
  void SetSeen(const StoredLease& aStored, bool aOwnWrite, TimePoint aNow);
  void ShortenTerminatedTails(const LeaseContext& aContext, TimePoint aNow);
  bool IsSelf(const LeaseHolder& aHolder) const { return aHolder == mSelf; }
  bool HasOwnTail() const;

  LeaseHolder mSelf;
  LeaseTerms mTerms;
  std::optional<StoredLease> mSeen;
  TimePoint mSeenAt;               //!< when this version was first seen
  TimePoint mReadAt;               //!< last good read
  bool mObjectKnown = false;       //!< the object, or its absence, was read
  std::vector<TrackedTail> mTails; //!< of mSeen, on this node's clock
  std::optional<Pending> mPending; //!< a write whose answer is not known
  bool mCallInFlight = false;      //!< an action is under way
  bool mRereadRequested = false;   //!< what is being read may be out of date
  bool mHolding = false;
  bool mReleasing = false;
  bool mEndingTail = false; //!< lost the lease and still has a tail in it
  TimePoint mTermStart;     //!< before the write that brought the right was sent
  TimePoint mNextAt;        //!< no call before; set by failed calls
  LeaseStart mStart;
  std::vector<CarriedLevel> mReleaseLevels;
  std::uint64_t mOperations = 0;
};

} // namespace mustardwinch
