#include "gate/GateUpstream.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdlib>

namespace mustardwinch {
namespace {

constexpr Seconds kSilenceLimit{ 5 };
constexpr Seconds kIdleBeforeCold{ 60 };
constexpr Seconds kPublishInterval{ 1 };
constexpr std::size_t kQueuePerSlot = 4;
constexpr int kLoadStep = 25;            // per cent of the slots
constexpr int kFailureStep = 5;          // per cent of the requests
constexpr double kLatencyStepLog = 0.22; // natural logarithm of a factor of 1.25

Service ServiceOf(const std::string& aName, const ConfigSnapshot& aConfig)
{
  const Service* it = aConfig.FindService(aName);
  return it == nullptr ? Service{} : *it;
}

Announcement Completed(Announcement aAnnouncement, const Service& aService)
{
  if (aAnnouncement.slots == 0) {
    aAnnouncement.slots = aService.slots;
  }
  if (aAnnouncement.connections == 0) {
    aAnnouncement.connections = aService.connections;
  }
  return aAnnouncement;
}

/** Keeps the old value unless the new one differs by a step, so that records change seldom. */
template<typename T>
void TakeStep(T& aOld, int aNew, int aStep)
{
  if (std::abs(aNew - static_cast<int>(aOld)) >= aStep) {
    aOld = static_cast<T>(aNew);
  }
}

} // namespace

GateUpstream::GateUpstream(const Announcement& aAnnouncement,
                           std::string aFailureDomain,
                           const GateMoment& aMoment)
  : mAnnouncement(aAnnouncement)
  , mFailureDomain(std::move(aFailureDomain))
  , mHeard(aMoment.now)
  , mLimit(1, Duration::zero(), aMoment.now)
  , mLastFinish(aMoment.now)
{
  Resize(aMoment);
  mLimit.Restart(aMoment.now);
}

void GateUpstream::Resize(const GateMoment& aMoment)
{
  const Service service = ServiceOf(mAnnouncement.service, aMoment.config);
  mAnnouncement = Completed(mAnnouncement, service);
  const std::uint32_t most = std::min(mAnnouncement.slots, mAnnouncement.connections);
  mLimit.Resize(most, Milliseconds(service.coldRampMs));
}

bool GateUpstream::Announce(const Announcement& aAnnouncement, const GateMoment& aMoment)
{
  const bool restarted = aAnnouncement.instance != mAnnouncement.instance;
  mAnnouncement = aAnnouncement;
  mHeard = aMoment.now;
  Resize(aMoment);
  if (restarted) {
    mLimit.Restart(aMoment.now);
    mDetector = UpstreamDetector();
    mTrials.OnReleased(aMoment.now);
    mLastFinish = aMoment.now;
    ForgetStarted();
  }
  return restarted;
}

void GateUpstream::ForgetStarted()
{
  mForgotten = mRunning;
}

bool GateUpstream::IsSilent(TimePoint aNow) const
{
  return aNow - mHeard > kSilenceLimit;
}

bool GateUpstream::IsGone(TimePoint aNow) const
{
  return IsSilent(aNow) && mRunning == 0 && mQueue.empty();
}

ResultCode GateUpstream::Refusal(const GateMoment& aMoment) const
{
  if (!aMoment.accepting) {
    return ResultCode::kNodeStopping;
  }
  if (IsSilent(aMoment.now) || mAnnouncement.state == UpstreamState::kStarting) {
    return ResultCode::kGateUpstreamUnknown;
  }
  const bool leaving = mAnnouncement.state == UpstreamState::kDraining ||
                       aMoment.config.IsLeaving(mAnnouncement.upstream) ||
                       aMoment.config.IsFailureDomainOut(mFailureDomain);
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

bool GateUpstream::CannotFinish(const GateRequest& aRequest, const GateMoment& aMoment) const
{
  if (aRequest.deadline <= aMoment.now) {
    return true;
  }
  // An idle upstream takes the request, so that the estimate is put to the test.
  return aMoment.typical && mRunning > 0 && aMoment.now + *aMoment.typical > aRequest.deadline;
}

GateActions GateUpstream::Submit(std::uint64_t aTicket,
                                 GateRequest aRequest,
                                 const GateMoment& aMoment)
{
  GateActions actions;
  if (mRunning == 0 && aMoment.now - mLastFinish > kIdleBeforeCold) {
    mLimit.Restart(aMoment.now);
    mLastFinish = aMoment.now;
  }
  const ResultCode refusal = Refusal(aMoment);
  const bool trial = refusal == ResultCode::kGateEjected && aRequest.idempotent &&
                     aRequest.deadline > aMoment.now && mTrials.MayStart(aMoment.now);
  if (trial) {
    mTrials.OnStarted(aMoment.now);
    ++mRunning;
    actions.push_back({ std::move(aRequest), ResultCode::kOk });
    return actions;
  }
  if (refusal != ResultCode::kOk) {
    actions.push_back({ std::move(aRequest), refusal });
    return actions;
  }
  auto loser = mQueue.Push({ aTicket, std::move(aRequest), aMoment.now }, QueueLimit());
  actions = Settle(aMoment);
  if (loser) {
    const Duration queued = aMoment.now - loser->queued;
    actions.push_back({ std::move(loser->request), ResultCode::kGateQueueFull, queued });
  }
  return actions;
}

bool GateUpstream::Cancel(std::uint64_t aTicket)
{
  return mQueue.Remove(aTicket);
}

GateActions GateUpstream::Settle(const GateMoment& aMoment)
{
  GateActions actions;
  const ResultCode refusal = Refusal(aMoment);
  const auto refuse = [&](std::vector<FairQueue::Entry> aEntries, ResultCode aCode) {
    for (FairQueue::Entry& it : aEntries) {
      actions.push_back({ std::move(it.request), aCode, aMoment.now - it.queued });
    }
  };
  if (refusal != ResultCode::kOk) {
    refuse(mQueue.TakeIf([](const FairQueue::Entry&) { return true; }), refusal);
    return actions;
  }
  refuse(mQueue.TakeIf(
           [&](const FairQueue::Entry& aOne) { return aOne.request.deadline <= aMoment.now; }),
         ResultCode::kDeadlineBeforeRun);
  while (mRunning < Limit(aMoment.now)) {
    std::optional<FairQueue::Entry> entry = mQueue.Pop();
    if (!entry) {
      break;
    }
    const Duration queued = aMoment.now - entry->queued;
    if (CannotFinish(entry->request, aMoment)) {
      mQueue.Charge(entry->request.organisation, 0);
      actions.push_back({ std::move(entry->request), ResultCode::kDeadlineBeforeRun, queued });
      continue;
    }
    ++mRunning;
    actions.push_back({ std::move(entry->request), ResultCode::kOk, queued });
  }
  return actions;
}

GateActions GateUpstream::Finish(const AttemptResult& aResult,
                                 const std::string& aOrganisation,
                                 const GateMoment& aMoment)
{
  assert(mRunning > 0);
  --mRunning;
  mLastFinish = aMoment.now;
  if (mForgotten > 0) {
    --mForgotten;
    return Settle(aMoment);
  }
  if (mTrials.IsEjected()) {
    mTrials.OnFinished(UpstreamDetector::IsGood(aResult, mPeers), aMoment.now);
  } else {
    mDetector.OnResult(aResult, mPeers, aMoment.now);
    mLimit.OnResult(aResult, aMoment.now);
  }
  if (aMoment.typical && *aMoment.typical > Duration::zero()) {
    const double cost =
      static_cast<double>(aResult.total.count()) / static_cast<double>(aMoment.typical->count());
    mQueue.Charge(aOrganisation, cost);
  }
  return Settle(aMoment);
}

void GateUpstream::SetEjected(bool aEjected, TimePoint aNow)
{
  if (aEjected == mTrials.IsEjected()) {
    return;
  }
  if (aEjected) {
    mTrials.OnEjected(aNow);
    ForgetStarted();
    return;
  }
  mTrials.OnReleased(aNow);
  mDetector.Reset();
  mLimit.Restart(aNow);
  ForgetStarted();
}

void GateUpstream::Publish(TimePoint aNow)
{
  if (aNow - mPublished < kPublishInterval) {
    return;
  }
  mPublished = aNow;
  const std::uint32_t slots = std::max<std::uint32_t>(1, mAnnouncement.slots);
  TakeStep(mPublishedLoad, static_cast<int>(100 * std::min(mRunning, slots) / slots), kLoadStep);
  TakeStep(mPublishedFailures, static_cast<int>(100 * mDetector.FailureShare()), kFailureStep);
  const double latency =
    std::chrono::duration<double, std::micro>(mDetector.MedianLatency()).count();
  if (latency >= 1) {
    const double old = std::max<double>(1, mPublishedLatencyUs);
    if (std::abs(std::log(latency / old)) > kLatencyStepLog) {
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
