#include "sidecar/Gate.h"

#include "mustardwinch/Event.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

constexpr double kInitialAnswerMs = 300;

// A request counts as stalled after this multiple of the upstream's usual latency ratio, within
// bounds. The slowest of 100 requests to a healthy upstream takes three times the usual time.
constexpr double kStallFactor = 2.5;
constexpr double kMinStallRatio = 0.4;
constexpr std::chrono::duration<double, std::milli> kDefaultStallThreshold{ 2'000 };

/** Fraction of the remaining time that a request may wait, so that it can still be answered. */
constexpr double kWaitShare = 0.5;

/** Fraction of the latency target that a request may wait. Under overload, a long queue makes all
 * requests late and serves no more of them than a short one. */
constexpr double kTargetWaitShare = 0.4;
constexpr Milliseconds kMinQueueTime{ 150 };

/** Stalled bodies are ended after about this time. */
constexpr Milliseconds kMemoryWait{ 1'000 };

/** A complete answer is copied a few times on its way to the caller, on VMs of 160 MB. */
constexpr std::size_t kMaxAnswersBytes = 24U << 20;

} // namespace

Gate::Gate(boost::asio::io_context& aLoop,
           Clock& aClock,
           HttpNames aNames,
           const ColdSettings& aCold,
           Delegate aDelegate,
           std::shared_ptr<MemoryBudget> aMemory)
  : mLoop(aLoop)
  , mClock(aClock)
  , mNames(std::move(aNames))
  , mCold(aCold)
  , mDelegate(std::move(aDelegate))
  , mWarmth(aLoop, aClock, mNames, [this](const auto& aReply) { OnWarmth(aReply); })
  , mMemory(std::move(aMemory))
  , mAnswerBytes(std::make_shared<ByteBudget>(
      mMemory ? std::min(kMaxAnswersBytes, mMemory->Limit() * 2 / 5) : kMaxAnswersBytes))
  , mSmoothedAnswerMs(kInitialAnswerMs)
{
}

bool Gate::IsAvailable() const
{
  return mAccepting && mState.IsAvailable() && mClock.Now() >= mDownUntil &&
         mDelegate.coldRequestsPerSecond(mState.Current().service) &&
         !mDelegate.isEvacuated(mState.Current().failureDomain) &&
         (!mDelegate.isInUse || mDelegate.isInUse(mState.Current()));
}

bool Gate::HasLostUpstream() const
{
  return mState.IsKnown() && (!mState.IsAvailable() || mClock.Now() < mDownUntil ||
                              (mDelegate.isInUse && !mDelegate.isInUse(mState.Current())));
}

std::string Gate::MetricsText() const
{
  const auto refusals = [](const char* aBelieved, std::uint64_t aCount) {
    return std::string("mw_upstream_refusals_total{believed=\"") + aBelieved + "\"} " +
           std::to_string(aCount) + "\n";
  };
  return mLatencies.Text() + refusals("yes", mBelievedRefusals) +
         refusals("no", mDisbelievedRefusals) + "mw_upstream_answers_dropped_total " +
         std::to_string(mDroppedAnswers) + "\nmw_gate_held_by_cold_bound_total " +
         std::to_string(mHeldByBound) + "\nmw_gate_warmth_probes_total " +
         std::to_string(mWarmth.Count()) + "\n";
}

void Gate::Announce(const UpstreamAnnouncement& aAnnouncement)
{
  if (aAnnouncement.coldRemaining.count() == 0) {
    mDownUntil = {}; // the upstream is running: connect again
  }
  OnUpstreamChange(mState.Announce(aAnnouncement, mClock.Now()));
  if (mState.IsCold(mClock.Now())) {
    mStarts.OnCold();
  }
}

void Gate::Leave(const std::string& aInstance, std::uint64_t aProcessStartMs)
{
  OnUpstreamChange(mState.Leave(aInstance, aProcessStartMs));
}

void Gate::OnUpstreamChange(UpstreamState::Change aChange)
{
  if (aChange == UpstreamState::Change::kReplaced) {
    mHealth.Reset();
    mStarts.OnCold(); // what was known concerned another process
    mUpstreamSince = mClock.Now();
    mDownUntil = {};
    ClosePool();
    LogEvent(LogLevel::kInfo,
             Event::kUpstreamAnnounced,
             { { "instance", mState.Current().instance },
               { "service", mState.Current().service },
               { "slots", std::to_string(mState.Current().slots) } });
  } else if (aChange == UpstreamState::Change::kLeaving) {
    LogEvent(LogLevel::kInfo, Event::kUpstreamGone, { { "instance", mState.LeavingInstance() } });
  }
  if (aChange != UpstreamState::Change::kStale && aChange != UpstreamState::Change::kNone) {
    StartQueued();
    PublishStatusIfChanged();
  }
}

std::optional<ResultCode> Gate::RestrictionOn(const GateCall& aCall) const
{
  if (!mState.IsKnown() || mState.Current().service != aCall.service) {
    return ResultCode::kGateUpstreamUnknown;
  }
  if (!mDelegate.coldRequestsPerSecond(aCall.service)) {
    return ResultCode::kGateUpstreamUnknown; // how many requests it bears while cold
  }
  if (!mState.IsAvailable()) {
    return ResultCode::kGateDraining;
  }
  if (mDelegate.isEvacuated(mState.Current().failureDomain)) {
    return ResultCode::kGateEvacuated;
  }
  if (mDelegate.mayRun && !mDelegate.mayRun(mState.Current(), aCall.version)) {
    return ResultCode::kGateVersionNotInUse;
  }
  if (mClock.Now() < mDownUntil) {
    return ResultCode::kGateConnectFailed;
  }
  return std::nullopt;
}

std::optional<ResultCode> Gate::RefusalReason(const GateCall& aCall) const
{
  if (!mAccepting) {
    return ResultCode::kNodeStopping;
  }
  if (const auto restriction = RestrictionOn(aCall)) {
    return restriction;
  }
  const UpstreamTrust trust = Trust();
  if (!aCall.lastResort && trust != UpstreamTrust::kTrusted) {
    if (!aCall.idempotent || trust != UpstreamTrust::kTrialDue) {
      return ResultCode::kGateEjected;
    }
  }
  return std::nullopt;
}

bool Gate::CanStartNow(const GateCall& aCall) const
{
  return mRunning.size() < std::max<std::uint32_t>(1, mState.Current().slots) &&
         mStarts.Allows(mClock.Now(), StartsPerSecond(aCall.service)) && HasRoomForAnswer();
}

/** Load pattern: many large answers at once. Those that find no memory would fail after they ran.
 */
bool Gate::HasRoomForAnswer() const
{
  const double expected = static_cast<double>(mRunning.size() + 1) * mSmoothedAnswerBytes;
  return mRunning.empty() || expected <= static_cast<double>(mAnswerBytes->Limit());
}

double Gate::RetryShare() const
{
  const auto retries = std::count_if(mRunning.begin(), mRunning.end(), [](const auto& aEntry) {
    return aEntry.second->call.isRetry;
  });
  return static_cast<double>(retries) /
         static_cast<double>(std::max<std::size_t>(1, mRunning.size()));
}

Milliseconds Gate::ExpectedWait(const std::string& aService, int aPriority) const
{
  constexpr double kMillisecondsPerSecond = 1'000;
  const double slots = std::max<std::uint32_t>(1, mState.Current().slots);
  const double ahead = static_cast<double>(mQueue.CountAhead(aPriority)) + 1;
  // A warm upstream starts as many as it has slots for, as long as it tells that it is warm.
  const bool bounded = mState.IsCold(mClock.Now()) || HealthPath(aService).empty();
  const double starts = bounded ? StartsPerSecond(aService) : 0;
  const double forStart = starts > 0 ? kMillisecondsPerSecond / starts : 0;
  return Milliseconds(static_cast<int>(ahead * std::max(mSmoothedAnswerMs / slots, forStart)));
}

Duration Gate::MaxQueueTime(const GateCall& aCall) const
{
  const auto most = std::chrono::duration_cast<Duration>(aCall.remaining * kWaitShare);
  if (aCall.latencyTarget.count() == 0) {
    return most;
  }
  const auto usual = std::chrono::duration_cast<Duration>(aCall.latencyTarget * kTargetWaitShare);
  return std::min(most, std::max<Duration>(usual, kMinQueueTime));
}

void Gate::Refuse(const ResultFn& aDone, ResultCode aReason, Milliseconds aWait)
{
  GateCallResult result;
  result.outcome = CallOutcome::kRefused;
  result.reason = aReason;
  result.wait = aWait;
  result.running = Running();
  result.queued = Queued();
  aDone(std::move(result));
}

Gate::Ticket Gate::Submit(GateCall aCall, ResultFn aDone, std::function<void()> aWantBody)
{
  const Ticket ticket = mNextTicket++;
  if (const auto reason = RefusalReason(aCall)) {
    Refuse(aDone, *reason, Milliseconds(0));
    return ticket;
  }
  const TimePoint now = mClock.Now();
  const TimePoint deadline = now + aCall.remaining;
  if (aCall.bodyFollows && !MemoryHolding(mMemory).TrySet(aCall.bodyBytes)) {
    Refuse(aDone, ResultCode::kGateNoMemory, kMemoryWait);
    return ticket;
  }
  if (mQueue.Size() == 0 && CanStartNow(aCall)) {
    Start(ticket, { std::move(aCall), std::move(aDone), std::move(aWantBody), deadline });
    return ticket;
  }
  if (mRunning.size() < mState.Current().slots && HasRoomForAnswer()) {
    ++mHeldByBound;
    ProbeWarmthIfNeeded();
  }
  const Milliseconds wait = ExpectedWait(aCall.service, aCall.priority);
  const Duration maxWait = MaxQueueTime(aCall);
  if (!aCall.mayWait || wait > maxWait) {
    Refuse(aDone, ResultCode::kGateQueueFull, wait);
    return ticket;
  }
  mQueue.Add({ ticket, aCall.priority, aCall.organisation, now, now + maxWait });
  mQueuedCalls.emplace(
    ticket, QueuedCall{ std::move(aCall), std::move(aDone), std::move(aWantBody), deadline });
  return ticket;
}

void Gate::Cancel(Ticket aTicket)
{
  if (mQueue.Remove(aTicket)) {
    mQueuedCalls.erase(aTicket);
    return;
  }
  const auto it = mRunning.find(aTicket);
  if (it == mRunning.end()) {
    return;
  }
  const ActivePtr active = it->second;
  active->cancelled = true;
  if (active->call.bodyFollows) {
    active->timer->cancel();
    mRunning.erase(it);
    StartQueued();
  } else if (active->call.idempotent && active->channel) {
    active->channel->Close();
  }
}

void Gate::StopAccepting()
{
  mAccepting = false;
  for (const WaitingRequest& it : mQueue.TakeAll()) {
    const auto queued = mQueuedCalls.extract(it.id);
    Refuse(queued.mapped().done, ResultCode::kNodeStopping, Milliseconds(0));
  }
  PublishStatusIfChanged();
}

void Gate::OnRestriction()
{
  StartQueued();
  PublishStatusIfChanged();
}

void Gate::Tick()
{
  const TimePoint now = mClock.Now();
  for (const WaitingRequest& it : mQueue.TakeExpired(now)) {
    const auto queued = mQueuedCalls.extract(it.id);
    const Milliseconds wait = ExpectedWait(queued.mapped().call.service, it.priority);
    Refuse(queued.mapped().done, ResultCode::kGateQueueFull, wait);
  }
  for (const auto& [ticket, active] : mRunning) {
    if (!active->stalled && active->sent && now - active->begin > StallThreshold(active->call)) {
      active->stalled = true;
      mHealth.OnStall(now);
    }
  }
  StartQueued();
  if (mQueue.Size() != 0) {
    ProbeWarmthIfNeeded();
  }
  PublishStatusIfChanged();
}

/** A request without an answer after this time has most likely stalled. */
Duration Gate::StallThreshold(const GateCall& aCall) const
{
  const std::chrono::duration<double, std::milli> target(aCall.latencyTarget);
  const double usual =
    std::max(kMinStallRatio, mHealth.LatencyRatioAt(mClock.Now()) * kStallFactor);
  const auto limit = target.count() > 0 ? target * std::min(1.0, usual) : kDefaultStallThreshold;
  return std::chrono::duration_cast<Duration>(limit);
}

void Gate::StartQueued()
{
  while (mQueue.Size() != 0) {
    std::optional<WaitingRequest> next = mQueue.TakeNext(mClock.Now());
    auto queued = mQueuedCalls.extract(next->id);
    if (const auto reason = RefusalReason(queued.mapped().call);
        reason && *reason != ResultCode::kGateEjected) {
      Refuse(queued.mapped().done, *reason, Milliseconds(0));
      continue;
    }
    if (!CanStartNow(queued.mapped().call)) {
      mQueuedCalls.insert(std::move(queued));
      mQueue.Add(std::move(*next));
      return;
    }
    Start(next->id, std::move(queued.mapped()));
  }
}

void Gate::PublishStatusIfChanged()
{
  const bool available = IsAvailable();
  const UpstreamTrust trust = Trust();
  if (available == mLastAvailable && trust == mLastTrust) {
    return;
  }
  const bool suspected = trust != UpstreamTrust::kTrusted;
  if (suspected != (mLastTrust != UpstreamTrust::kTrusted)) {
    LogEvent(LogLevel::kInfo,
             suspected ? Event::kUpstreamDoubted : Event::kUpstreamReturned,
             { { "instance", mState.Current().instance },
               { "gray", std::to_string(mHealth.GrayProbabilityAt(mClock.Now())) } });
  }
  // Only nodes of the same failure domain send trials, so other nodes need not know that one is
  // due.
  const bool forAll = available != mLastAvailable || trust == UpstreamTrust::kTrusted ||
                      mLastTrust == UpstreamTrust::kTrusted;
  mLastAvailable = available;
  mLastTrust = trust;
  mDelegate.onStatusChange(forAll);
}

} // namespace mustardwinch
