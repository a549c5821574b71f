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
 * One node's state machine for the lease of one slice. Decides when to read and write the lease
 * object and which share of the slice this node may grant. The caller passes in the time and
 * platform responses and performs the returned actions; no function blocks.
 *
 * Lease terms count from just before the write that acquired or renewed the lease is sent. The
 * holder may grant its full share during the short term and a part of it during the tail term. A
 * successor waits until it has seen an unchanged version for the whole short term on its own clock.
 * It leaves the tail part, as given by the old holder's terms, unused until the tail term is over
 * or the old holder is known to have terminated. A tail that the platform has lost with its history
 * is not known to a successor.
 */
class LeaseState
{
public:
  LeaseState(LeaseHolder aSelf, LeaseTerms aTerms);

  /** Returns the next platform call. At most one call is in flight at a time. */
  LeaseAction Next(const LeaseContext& aContext, TimePoint aNow);

  /** Handles the result of LeaseRead; nullopt if the object does not exist. */
  LeaseChange OnRead(const Result<std::optional<StoredLease>>& aAnswer, TimePoint aNow);

  /** Handles the result of LeaseWrite. */
  LeaseChange OnWritten(const Result<StoredLease>& aAnswer, TimePoint aNow);

  /** Stops granting and starts to release the lease with these levels for the next holder. */
  void BeginRelease(std::vector<CarriedLevel> aLevels);

  /**
   * The platform came back from a copy, as this node learned at aSince, and may lack leases that
   * are in force. Their holders write them again in their short term; the others take no lease over
   * before every short term of the lost history is over.
   */
  void OnHistoryReplaced(TimePoint aSince);

  /** Makes a waiting node read the lease again now, after a member change or a release. */
  void RequestReread(TimePoint aNow);

  bool IsHolding() const { return mHolding; }
  bool IsReleasing() const { return mReleasing; }

  /** Holds or is releasing the lease, is ending its tail, or has a write of unknown outcome. */
  bool IsInvolved() const { return mHolding || mReleasing || mEndingTail || mPending; }

  /** Processes other than this one that hold the lease or a tail of it. */
  std::vector<LeaseHolder> OtherHolders() const;

  /** The share that this node may grant at the given time; may be empty. */
  ShareMask ShareAt(TimePoint aTime) const;

  /** When new grants from the full share, or from the tail part, must stop. Only while holding. */
  TimePoint FullEnd() const;
  TimePoint TailEnd() const;

  /** When the last successful acquire or renew write was sent. Only while holding. */
  TimePoint TermStart() const { return mTermStart; }

  /** Initial state from the last acquisition. */
  const LeaseStart& Start() const { return mStart; }

  const std::optional<StoredLease>& Seen() const { return mSeen; }
  const LeaseHolder& Self() const { return mSelf; }
  const LeaseTerms& Terms() const { return mTerms; }

private:
  enum class Purpose : std::uint8_t
  {
    kHold,    //!< acquire or renew
    kRelease, //!< release the lease with its levels
    kEndTail, //!< shorten this node's tail in another holder's lease
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
  LeaseChange ApplyStored(const StoredLease& aStored, TimePoint aNow);
  void SetSeen(const StoredLease& aStored, bool aOwnWrite, TimePoint aNow);
  void ShortenTerminatedTails(const LeaseContext& aContext, TimePoint aNow);
  bool IsSelf(const LeaseHolder& aHolder) const { return aHolder == mSelf; }
  bool HasOwnTail() const;
  bool MayReclaim(TimePoint aNow) const;
  void KeepLost(std::uint64_t aStoredVersion);

  LeaseHolder mSelf;
  LeaseTerms mTerms;
  std::optional<StoredLease> mSeen;
  TimePoint mSeenAt;               //!< when the version of mSeen was first seen
  TimePoint mReadAt;               //!< last successful read
  bool mObjectKnown = false;       //!< the object, or its absence, has been read
  std::vector<TrackedTail> mTails; //!< tails of mSeen, with end times on this node's clock
  std::optional<Pending> mPending; //!< a write whose outcome is not known
  bool mCallInFlight = false;      //!< a platform call is in flight
  bool mRereadRequested = false;   //!< the read in flight may return stale data
  bool mHolding = false;
  bool mReleasing = false;
  bool mEndingTail = false; //!< lost the lease and still has a tail in it
  TimePoint mTermStart;     //!< just before the write that acquired or renewed was sent
  TimePoint mNextAt;        //!< earliest next call; set after failed calls
  LeaseStart mStart;
  std::vector<CarriedLevel> mReleaseLevels;
  /** Until then another node may hold a lease that the platform has lost. */
  std::optional<TimePoint> mLostTermsUntil;
  bool mHistoryLost = false; //!< since the last acquisition the platform has lost its history
  bool mReclaiming = false;  //!< holds a lease that the platform may have lost
  std::uint64_t mOperations = 0;
};

} // namespace mustardwinch
