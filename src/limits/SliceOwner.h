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
 * One slice of one shard at a node: its lease and, while the node holds it, the buckets of the
 * shard's organisations. Checks the lease against the time of the call, so a holder that was paused
 * does not grant on a lapsed right. Pure: time, requests and answers of the platform come in.
 */
class SliceOwner
{
public:
  SliceOwner(std::uint32_t aShard,
             std::uint32_t aSlice,
             std::uint32_t aSlices,
             LeaseHolder aSelf,
             LeaseTerms aTerms);

  /** Takes over the configured organisations of this shard. */
  void ApplyConfig(const std::vector<Organisation>& aOrganisations, TimePoint aNow);

  /** @see LeaseState; these keep the buckets in step with the lease. */
  LeaseAction Next(const LeaseContext& aContext, TimePoint aNow);
  LeaseChange OnRead(const Result<std::optional<StoredLease>>& aAnswer, TimePoint aNow);
  LeaseChange OnWritten(const Result<StoredLease>& aAnswer, TimePoint aNow);
  void BeginRelease(TimePoint aNow);
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
    RateShare slice; //!< the whole share of this slice, of which the lease may give a part
    SliceBucket bucket;
    bool configured = true; //!< false: the organisation is no longer configured
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
  ShareMask mShare;     //!< as applied to the buckets
  TimePoint mUpdatedAt; //!< up to when mShare was right
  TimePoint
    mShareConstantSince; //!< since when an organisation without a bucket could accrue at this share
  TimePoint mPriorGrantsExpiry; //!< when the grants of the holder before are certainly gone
  std::map<std::string, CarriedLevel> mCarried; //!< left by the holder before and not yet taken up
  std::vector<Organisation> mOrganisations;
  std::map<std::string, Entry, std::less<>> mEntries;
};

} // namespace mustardwinch
