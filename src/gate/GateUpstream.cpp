#include "gate/GateUpstream.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdlib>

namespace mustardwinch {
namespace {

constexpr Seconds kAnnouncementTimeout{ 5 };
constexpr Seconds kIdleBeforeCold{ 60 };
constexpr Seconds kPublishInterval{ 1 };
constexpr std::size_t kQueuePerSlot = 4;
constexpr int kLoadStep = 25;            // percent of the slots
constexpr int kFailureStep = 5;          // percent of the requests
constexpr double kLogLatencyStep = 0.22; // natural logarithm of a factor of 1.25

Service ServiceOf(const std::string& aName, const ConfigSnapshot& aConfig)
{
  const Service* it = aConfig.FindService(aName);
  return it == nullptr ? Service{} : *it;
}

Announcement WithServiceDefaults(Announcement aAnnouncement, const Service& aService)
{
  if (aAnnouncement.slots == 0) {
    aAnnouncement.slots = aService.slots;
  }
  if (aAnnouncement.connections == 0) {
    aAnnouncement.connections = aService.connections;
  }
  return aAnnouncement;
}

/** Updates a value only if it changes by at least aMinChange, so that records seldom change. */
template<typename T>
void UpdateIfChanged(T& aValue, int aNew, int aMinChange)
{
  if (std::abs(aNew - static_cast<int>(aValue)) >= aMinChange) {
    aValue = static_cast<T>(aNew);
  }
}

} // namespace

GateUpstream::GateUpstream(const Announcement& aAnnouncement,
                           std::string aFailureDomain,
                           const GateContext& aContext)
  : mAnnouncement(aAnnouncement)
  , mFailureDomain(std::move(aFailureDomain))
  , mLastAnnounced(aContext.now)
  , mLimit(1, Duration::zero(), aContext.now)
  , mLastFinish(aContext.now)
{
  Resize(aContext);
  mLimit.Restart(aContext.now);
}

void GateUpstream::Resize(const GateContext& aContext)
{
  const Service service = ServiceOf(mAnnouncement.service, aContext.config);
  mAnnouncement = WithServiceDefaults(mAnnouncement, service);
  const std::uint32_t limit = std::min(mAnnouncement.slots, mAnnouncement.connections);
  mLimit.Resize(limit, Milliseconds(service.coldRampMs));
}

bool GateUpstream::Announce(const Announcement& aAnnouncement, const GateContext& aContext)
{
  const bool restarted = aAnnouncement.instance != mAnnouncement.instance;
  mAnnouncement = aAnnouncement;
  mLastAnnounced = aContext.now;
  Resize(aContext);
  if (restarted) {
    mLimit.Restart(aContext.now);
    mDetector = UpstreamDetector();
    mTrials.OnReleased(aContext.now);
    mLastFinish = aContext.now;
    IgnoreRunningResults();
  }
  return restarted;
}

void GateUpstream::IgnoreRunningResults()
{
  mResultsToIgnore = mRunning;
}

bool GateUpstream::IsExpired(TimePoint aNow) const
{
  return aNow - mLastAnnounced > kAnnouncementTimeout;
}

bool GateUpstream::CanBeRemoved(TimePoint aNow) const
{
  return IsExpired(aNow) && mRunning == 0 && mQueue.empty();
}

ResultCode GateUpstream::RefusalCode(const GateContext& aContext) const
{
  if (!aContext.accepting) {
    return ResultCode::kNodeStopping;
  }
  if (IsExpired(aContext.now) || mAnnouncement.state == UpstreamState::kStarting) {
    return ResultCode::kGateUpstreamUnknown;
  }
  const bool leaving = mAnnouncement.state == UpstreamState::kDraining ||
                       aContext.config.IsLeaving(mAnnouncement.upstream) ||
                       aContext.config.IsFailureDomainOut(mFailureDomain);
  if (leaving) {
    return ResultCode::kGateDraining;
  }
  return mTrials.IsEjected() ? ResultCode::kGateEjected : ResultCode::kOk;
}

std::uint32_t GateUpstream::Limit(TimePoint aNow) const
{
  return mLimit.Limit(aNow);
}

std::size_t GateUpstream::QueueLimit() const
{
  return kQueuePerSlot * std::max<std::uint32_t>(1, mAnnouncement.slots);
}

bool GateUpstream::CannotMeetDeadline(const GateRequest& aRequest,
                                      const GateContext& aContext) const
{
  if (aRequest.deadline <= aContext.now) {
    return true;
  }
  // An idle upstream gets the request regardless, so that a wrong estimate is corrected.
  return aContext.typicalServiceTime && mRunning > 0 &&
         aContext.now + *aContext.typicalServiceTime > aRequest.deadline;
}

GateDecisions GateUpstream::Submit(std::uint64_t aTicket,
                                   GateRequest aRequest,
                                   const GateContext& aContext)
{
  GateDecisions decisions;
  if (mRunning == 0 && aContext.now - mLastFinish > kIdleBeforeCold) {
    mLimit.Restart(aContext.now);
    mLastFinish = aContext.now;
  }
  const ResultCode refusal = RefusalCode(aContext);
  const bool trial = refusal == ResultCode::kGateEjected && aRequest.idempotent &&
                     aRequest.deadline > aContext.now && mTrials.MayStart(aContext.now);
  if (trial) {
    mTrials.OnStarted(aContext.now);
    ++mRunning;
    decisions.push_back({ std::move(aRequest), ResultCode::kOk });
    return decisions;
  }
  if (refusal != ResultCode::kOk) {
    decisions.push_back({ std::move(aRequest), refusal });
    return decisions;
  }
  auto evicted = mQueue.Push({ aTicket, std::move(aRequest), aContext.now }, QueueLimit());
  decisions = DispatchQueued(aContext);
  if (evicted) {
    const Duration queued = aContext.now - evicted->queued;
    decisions.push_back({ std::move(evicted->request), ResultCode::kGateQueueFull, queued });
  }
  return decisions;
}

bool GateUpstream::Cancel(std::uint64_t aTicket)
{
  return mQueue.Remove(aTicket);
}

GateDecisions GateUpstream::DispatchQueued(const GateContext& aContext)
{
  GateDecisions decisions;
  const ResultCode refusal = RefusalCode(aContext);
  const auto refuse = [&](std::vector<FairQueue::Entry> aEntries, ResultCode aCode) {
    for (FairQueue::Entry& it : aEntries) {
      decisions.push_back({ std::move(it.request), aCode, aContext.now - it.queued });
    }
  };
  if (refusal != ResultCode::kOk) {
    refuse(mQueue.TakeIf([](const FairQueue::Entry&) { return true; }), refusal);
    return decisions;
  }
  refuse(mQueue.TakeIf(
           [&](const FairQueue::Entry& aOne) { return aOne.request.deadline <= aContext.now; }),
         ResultCode::kDeadlineBeforeRun);
  while (mRunning < Limit(aContext.now)) {
    std::optional<FairQueue::Entry> entry = mQueue.Pop();
    if (!entry) {
      break;
    }
    const Duration queued = aContext.now - entry->queued;
    if (CannotMeetDeadline(entry->request, aContext)) {
      mQueue.Charge(entry->request.organisation, 0);
      decisions.push_back({ std::move(entry->request), ResultCode::kDeadlineBeforeRun, queued });
      continue;
    }
    ++mRunning;
    decisions.push_back({ std::move(entry->request), ResultCode::kOk, queued });
  }
  return decisions;
}

GateDecisions GateUpstream::Finish(const AttemptResult& aResult,
                                   const std::string& aOrganisation,
                                   const GateContext& aContext)
{
  assert(mRunning > 0);
  --mRunning;
  mLastFinish = aContext.now;
  if (mResultsToIgnore > 0) {
    --mResultsToIgnore;
    return DispatchQueued(aContext);
  }
  if (mTrials.IsEjected()) {
    mTrials.OnFinished(UpstreamDetector::IsGood(aResult, mPeers), aContext.now);
  } else {
    mDetector.OnResult(aResult, mPeers, aContext.now);
    mLimit.OnResult(aResult, aContext.now);
  }
  if (aContext.typicalServiceTime && *aContext.typicalServiceTime > Duration::zero()) {
    const double cost = static_cast<double>(aResult.total.count()) /
                        static_cast<double>(aContext.typicalServiceTime->count());
    mQueue.Charge(aOrganisation, cost);
  }
  return DispatchQueued(aContext);
}

void GateUpstream::SetEjected(bool aEjected, TimePoint aNow)
{
  if (aEjected == mTrials.IsEjected()) {
    return;
  }
  if (aEjected) {
    mTrials.OnEjected(aNow);
    IgnoreRunningResults();
    return;
  }
  mTrials.OnReleased(aNow);
  mDetector.Reset();
  mLimit.Restart(aNow);
  IgnoreRunningResults();
}

void GateUpstream::Publish(TimePoint aNow)
{
  if (aNow - mLastPublished < kPublishInterval) {
    return;
  }
  mLastPublished = aNow;
  const std::uint32_t slots = std::max<std::uint32_t>(1, mAnnouncement.slots);
  UpdateIfChanged(
    mPublishedLoad, static_cast<int>(100 * std::min(mRunning, slots) / slots), kLoadStep);
  UpdateIfChanged(
    mPublishedFailures, static_cast<int>(100 * mDetector.FailureShare()), kFailureStep);
  const double latency =
    std::chrono::duration<double, std::micro>(mDetector.MedianLatency()).count();
  if (latency >= 1) {
    const double old = std::max<double>(1, mPublishedLatencyUs);
    if (std::abs(std::log(latency / old)) > kLogLatencyStep) {
      mPublishedLatencyUs = static_cast<std::uint32_t>(latency);
    }
  }
}

UpstreamRecord GateUpstream::Record(const Address& aGate, TimePoint aNow) const
{
  UpstreamRecord record;
  record.service = mAnnouncement.service;
  record.upstream = mAnnouncement.upstream;
  record.gate = aGate;
  record.failureDomain = mFailureDomain;
  record.instance = mAnnouncement.instance;
  record.slots = mAnnouncement.slots;
  record.connections = mAnnouncement.connections;
  record.state = mAnnouncement.state;
  record.cold = mLimit.IsCold(aNow);
  record.ejected = mTrials.IsEjected();
  record.load = mPublishedLoad;
  record.medianLatencyUs = mPublishedLatencyUs;
  record.failurePercent = mPublishedFailures;
  return record;
}

GateUpstreamStatus GateUpstream::Status(TimePoint aNow) const
{
  GateUpstreamStatus status;
  status.service = mAnnouncement.service;
  status.upstream = mAnnouncement.upstream;
  status.instance = mAnnouncement.instance;
  status.running = mRunning;
  status.waiting = mQueue.size();
  status.limit = Limit(aNow);
  status.slots = mAnnouncement.slots;
  status.cold = mLimit.IsCold(aNow);
  status.ejected = mTrials.IsEjected();
  status.passedTrials = mTrials.HasPassed();
  status.distrustsPool = mDetector.ShouldDropPool();
  status.verdict = mDetector.Verdict();
  status.medianLatency = mDetector.MedianLatency();
  status.failureShare = mDetector.FailureShare();
  return status;
}

} // namespace mustardwinch
