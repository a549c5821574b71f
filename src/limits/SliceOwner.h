#pragma once

#include "limits/GrantReply.h"
#include "limits/GrantRequest.h"
#include "limits/GrantSettlement.h"
#include "limits/LeaseState.h"
#include "limits/SliceBucket.h"
#include "limits/SliceStatus.h"
#include "mustardwinch/Organisation.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * One slice of one shard on a node: its lease and, while the node holds it, the token buckets of
 * the shard's organisations. Every call checks the lease at the given time, so a holder that was
 * paused does not grant after its lease has expired. Does no I/O and reads no clock: time, requests
 * and platform responses are passed in.
 */
class SliceOwner
{
public:
  SliceOwner(std::uint32_t aShard,
             std::uint32_t aSlice,
             std::uint32_t aSlices,
             LeaseHolder aSelf,
             LeaseTerms aTerms);

  /** Applies the configured organisations of this shard. */
  void ApplyConfig(const std::vector<Organisation>& aOrganisations, TimePoint aNow);

  /** @see LeaseState; these also update the buckets when the lease changes. */
  LeaseAction Next(const LeaseContext& aContext, TimePoint aNow);
  LeaseChange OnRead(const Result<std::optional<StoredLease>>& aAnswer, TimePoint aNow);
  LeaseChange OnWritten(const Result<StoredLease>& aAnswer, TimePoint aNow);
  void BeginRelease(TimePoint aNow);
  void OnHistoryReplaced(TimePoint aSince) { mLease.OnHistoryReplaced(aSince); }
  void RequestReread(TimePoint aNow) { mLease.RequestReread(aNow); }

  GrantReply Handle(const GrantRequest& aRequest, TimePoint aNow);
  void Settle(const GrantSettlement& aSettlement, TimePoint aNow);

  const LeaseState& Lease() const { return mLease; }
  std::uint32_t Shard() const { return mShard; }
  std::uint32_t Slice() const { return mSlice; }
  SliceStatus::Term TermAt(TimePoint aTime) const;
  SliceStatus Status(TimePoint aNow);

private:
  struct Entry
  {
    RateShare slice; //!< whole share of this slice; the lease may allow only a part of it
    SliceBucket bucket;
    bool configured = true; //!< false: the organisation was removed from the configuration
    std::uint64_t granted = 0;
    std::uint64_t empty = 0;
  };

  void Update(TimePoint aNow);
  void ApplyShare(ShareMask aShare, TimePoint aTime);
  void OnChange(LeaseChange aChange, TimePoint aNow);
  void Begin(TimePoint aNow);
  void AddEntry(const Organisation& aOrganisation, TimePoint aNow);
  void SettleEntries(SliceBucket& aBucket,
                     GrantKey aKey,
                     const std::vector<GrantEntry>& aEntries,
                     TimePoint aNow);
  GrantReply NotOwnerReply() const;
  GrantReply EmptyReply(Entry& aEntry);

  std::uint32_t mShard;
  std::uint32_t mSlice;
  std::uint32_t mSlices;
  LeaseState mLease;
  ShareMask mShare;              //!< share applied to the buckets
  TimePoint mUpdatedAt;          //!< time of the last Update()
  TimePoint mShareConstantSince; //!< from when an organisation without a bucket accrues at mShare
  TimePoint mPriorGrantsExpiry;  //!< when all grants of the previous holder have expired
  std::map<std::string, CarriedLevel> mCarried; //!< from the previous holder, not yet applied
  std::vector<Organisation> mOrganisations;
  std::map<std::string, Entry, std::less<>> mEntries;
};

} // namespace mustardwinch
