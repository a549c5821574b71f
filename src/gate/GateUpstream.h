#pragma once

#include "gate/Announcement.h"
#include "gate/ConcurrencyLimit.h"
#include "gate/FairQueue.h"
#include "gate/GateAction.h"
#include "gate/GateMoment.h"
#include "gate/GateUpstreamStatus.h"
#include "health/RecoveryTrials.h"
#include "health/UpstreamDetector.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/**
 * The state of one upstream at its gate, as pure decisions: events and time go in, requests to
 * start or to refuse come out. Never more than Limit() requests run. Not thread safe.
 */
class GateUpstream
{
public:
  GateUpstream(const Announcement& aAnnouncement,
               std::string aFailureDomain,
               const GateMoment& aMoment);

  /** Takes over an announcement; a new instance resets the state. True if it is a new instance. */
  bool Announce(const Announcement& aAnnouncement, const GateMoment& aMoment);

  GateActions Submit(std::uint64_t aTicket, GateRequest aRequest, const GateMoment& aMoment);
  bool Cancel(std::uint64_t aTicket);

  /** Gives back one slot. @param aOrganisation of the request; charged for its slot time */
  GateActions Finish(const AttemptResult& aResult,
                     const std::string& aOrganisation,
                     const GateMoment& aMoment);

  /** Refuses what must not start and starts what may. */
  GateActions Settle(const GateMoment& aMoment);

  /** Takes new values into what Record() publishes, if they have changed by much. */
  void Publish(TimePoint aNow);

  void SetPeers(const PeerSummary& aPeers) { mPeers = aPeers; }
  void SetEjected(bool aEjected, TimePoint aNow);

  /** True when its announcements have stopped. */
  bool IsSilent(TimePoint aNow) const;

  /** Whether pooled connections to the upstream went silent. */
  bool ShouldDropPool() const { return mDetector.ShouldDropPool(); }

  /** True when the upstream fell silent and nothing of it is left to wait for. */
  bool IsGone(TimePoint aNow) const;

  std::uint32_t Running() const { return mRunning; }
  std::uint32_t Limit(TimePoint aNow) const;
  UpstreamRecord Record(const Address& aGate, TimePoint aNow) const;
  GateUpstreamStatus Status(TimePoint aNow) const;
  const Announcement& Announced() const { return mAnnouncement; }

private:
  ResultCode Refusal(const GateMoment& aMoment) const;
  bool CannotFinish(const GateRequest& aRequest, const GateMoment& aMoment) const;
  std::size_t QueueLimit() const;
  void ForgetStarted();
  void Resize(const GateMoment& aMoment);

  Announcement mAnnouncement; //!< with slots and connections filled in
  std::string mFailureDomain;
  TimePoint mHeard;
  ConcurrencyLimit mLimit;
  FairQueue mQueue;
  UpstreamDetector mDetector;
  RecoveryTrials mTrials;
  PeerSummary mPeers;
  std::uint32_t mRunning = 0;
  std::uint32_t mForgotten = 0; //!< running requests that began before a restart or an ejection
  TimePoint mLastFinish;
  TimePoint mPublished{};
  std::uint8_t mPublishedLoad = 0;
  std::uint32_t mPublishedLatencyUs = 0;
  std::uint8_t mPublishedFailures = 0;
};

} // namespace mustardwinch
