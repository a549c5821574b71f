#pragma once

#include "gate/Announcement.h"
#include "gate/ConcurrencyLimit.h"
#include "gate/FairQueue.h"
#include "gate/GateContext.h"
#include "gate/GateDecision.h"
#include "gate/GateUpstreamStatus.h"
#include "health/RecoveryTrials.h"
#include "health/UpstreamDetector.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/**
 * State of one upstream at its gate. Performs no I/O and reads no clock: it takes events with their
 * time, and returns the requests to start or to refuse. Starts no queued request while Limit()
 * requests run. Not thread safe.
 */
class GateUpstream
{
public:
  GateUpstream(const Announcement& aAnnouncement,
               std::string aFailureDomain,
               const GateContext& aContext);

  /** Applies an announcement. A new instance resets the state; returns true in that case. */
  bool Announce(const Announcement& aAnnouncement, const GateContext& aContext);

  GateDecisions Submit(std::uint64_t aTicket, GateRequest aRequest, const GateContext& aContext);
  bool Cancel(std::uint64_t aTicket);

  /**
   * Releases one slot.
   *
   * @param aOrganisation organisation of the request, which is charged for the slot time
   */
  GateDecisions Finish(const AttemptResult& aResult,
                       const std::string& aOrganisation,
                       const GateContext& aContext);

  /** Refuses the queued requests that must not start and starts those that may. */
  GateDecisions DispatchQueued(const GateContext& aContext);

  /** Updates the values that Record() publishes if they have changed significantly. */
  void Publish(TimePoint aNow);

  void SetPeers(const PeerSummary& aPeers) { mPeers = aPeers; }
  void SetEjected(bool aEjected, TimePoint aNow);

  /** True if the upstream no longer announces itself. */
  bool IsExpired(TimePoint aNow) const;

  /** True if requests on pooled connections to the upstream got no response. */
  bool ShouldDropPool() const { return mDetector.ShouldDropPool(); }

  /** True if announcements have stopped and no request is running or queued. */
  bool CanBeRemoved(TimePoint aNow) const;

  std::uint32_t Running() const { return mRunning; }
  std::uint32_t Limit(TimePoint aNow) const;
  UpstreamRecord Record(const Address& aGate, TimePoint aNow) const;
  GateUpstreamStatus Status(TimePoint aNow) const;
  const Announcement& LastAnnouncement() const { return mAnnouncement; }

private:
  ResultCode RefusalCode(const GateContext& aContext) const;
  bool CannotMeetDeadline(const GateRequest& aRequest, const GateContext& aContext) const;
  std::size_t QueueLimit() const;
  void IgnoreRunningResults();
  void Resize(const GateContext& aContext);

  Announcement mAnnouncement; //!< with the defaults of the service filled in
  std::string mFailureDomain;
  TimePoint mLastAnnounced;
  ConcurrencyLimit mLimit;
  FairQueue mQueue;
  UpstreamDetector mDetector;
  RecoveryTrials mTrials;
  PeerSummary mPeers;
  std::uint32_t mRunning = 0;
  std::uint32_t mResultsToIgnore = 0; //!< from requests started before a restart or ejection change
  TimePoint mLastFinish;
  TimePoint mLastPublished{};
  std::uint8_t mPublishedLoad = 0;
  std::uint32_t mPublishedLatencyUs = 0;
  std::uint8_t mPublishedFailures = 0;
};

} // namespace mustardwinch
