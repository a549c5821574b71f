#include "sidecar/Gate.h"

#include "mustardwinch/Event.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

constexpr double kInitialWorkMs = 300;

// A stall: times the usual part of the latency target, within bounds; the slowest of 100 sound
// requests takes three times the usual time.
constexpr double kStallFactor = 2.5;
constexpr double kLeastStallRatio = 0.4;
constexpr std::chrono::duration<double, std::milli> kUnknownStallTime{ 2'000 };

/** Part of the remaining time that a request may wait, so that it can still be answered. */
constexpr double kWaitShare = 0.5;

/** Part of the latency target that it may wait: where more comes than can be served, a queue that
 *  makes all late serves no more than a short one. */
constexpr double kTargetWaitShare = 0.4;
constexpr Milliseconds kLeastPatience{ 150 };

} // namespace

Gate::Gate(boost::asio::io_context& aLoop,
           Clock& aClock,
           HttpNames aNames,
           const ColdSettings& aCold,
           Surroundings aSurroundings)
  : mLoop(aLoop)
  , mClock(aClock)
  , mNames(std::move(aNames))
  , mCold(aCold)
  , mSurroundings(std::move(aSurroundings))
  , mWorkMs(kInitialWorkMs)
{
}

bool Gate::IsAvailable() const
{
  return mAccepting && mState.IsAvailable() && mClock.Now() >= mDownUntil &&
         !mSurroundings.isEvacuated(mState.Current().failureDomain);
}

void Gate::Announce(const UpstreamAnnouncement& aAnnouncement)
{
  if (aAnnouncement.coldLeft.count() == 0) {
    mDownUntil = {}; // it runs: ask for a connection again
  }
  AfterChange(mState.Announce(aAnnouncement, mClock.Now()));
}

void Gate::Leave(const std::string& aInstance, std::uint64_t aBorn)
{
  AfterChange(mState.Leave(aInstance, aBorn));
}

void Gate::AfterChange(UpstreamState::Change aChange)
{
  if (aChange == UpstreamState::Change::kReplaced) {
    mHealth.Reset();
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
    StartWaiting();
    NoteStatus();
  }
}

std::optional<ResultCode> Gate::WhyNot(const GateCall& aCall) const
{
  if (!mAccepting) {
    return ResultCode::kNodeStopping;
  }
  if (!mState.IsKnown() || mState.Current().service != aCall.service) {
    return ResultCode::kGateUpstreamUnknown;
  }
  if (!mState.IsAvailable()) {
    return ResultCode::kGateDraining;
  }
  if (mSurroundings.isEvacuated(mState.Current().failureDomain)) {
    return ResultCode::kGateEvacuated;
  }
  if (mClock.Now() < mDownUntil) {
    return ResultCode::kGateConnectFailed;
  }
  const UpstreamTrust trust = Trust();
  if (!aCall.lastResort && trust != UpstreamTrust::kTrusted) {
    if (!aCall.idempotent || trust != UpstreamTrust::kTrialDue) {
      return ResultCode::kGateEjected;
    }
  }
  return std::nullopt;
}

bool Gate::HasRoom(const GateCall& aCall) const
{
  return mRunning.size() < std::max<std::uint32_t>(1, mState.Current().slots) &&
         mStarts.Allows(mClock.Now(), StartsPerSecond(aCall.service));
}

double Gate::RepeatShare() const
{
  const auto repeats = std::count_if(mRunning.begin(), mRunning.end(), [](const auto& aEntry) {
    return aEntry.second->call.repeat;
  });
  return static_cast<double>(repeats) /
         static_cast<double>(std::max<std::size_t>(1, mRunning.size()));
}

Milliseconds Gate::ExpectedWait(const std::string& aService, int aPriority) const
{
  constexpr double kMillisecondsPerSecond = 1'000;
  const double slots = std::max<std::uint32_t>(1, mState.Current().slots);
  const double ahead = static_cast<double>(mQueue.CountAhead(aPriority)) + 1;
  const double starts = StartsPerSecond(aService);
  const double forStart = starts > 0 ? kMillisecondsPerSecond / starts : 0;
  return Milliseconds(static_cast<int>(ahead * std::max(mWorkMs / slots, forStart)));
}

Duration Gate::Patience(const GateCall& aCall) const
{
  const auto most = std::chrono::duration_cast<Duration>(aCall.remaining * kWaitShare);
  if (aCall.latencyTarget.count() == 0) {
    return most;
  }
  const auto usual = std::chrono::duration_cast<Duration>(aCall.latencyTarget * kTargetWaitShare);
  return std::min(most, std::max<Duration>(usual, kLeastPatience));
}

double Gate::StartsPerSecond(const std::string& aService) const
{
  const double bearable = mSurroundings.coldRequestsPerSecond(aService);
  return mCold.StartsPerSecond(bearable, mState.IsCold(mClock.Now()));
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
  const Ticket ticket = mNext++;
  if (const auto reason = WhyNot(aCall)) {
    Refuse(aDone, *reason, Milliseconds(0));
    return ticket;
  }
  const TimePoint now = mClock.Now();
  const TimePoint deadline = now + aCall.remaining;
  if (mQueue.Size() == 0 && HasRoom(aCall)) {
    Start(ticket, { std::move(aCall), std::move(aDone), std::move(aWantBody), deadline });
    return ticket;
  }
  const Milliseconds wait = ExpectedWait(aCall.service, aCall.priority);
  const Duration patience = Patience(aCall);
  if (!aCall.mayWait || wait > patience) {
    Refuse(aDone, ResultCode::kGateQueueFull, wait);
    return ticket;
  }
  mQueue.Add({ ticket, aCall.priority, aCall.organisation, now, now + patience });
  mWaiting.emplace(ticket,
                   Waiting{ std::move(aCall), std::move(aDone), std::move(aWantBody), deadline });
  return ticket;
}

void Gate::Cancel(Ticket aTicket)
{
  if (mQueue.Remove(aTicket)) {
    mWaiting.erase(aTicket);
    return;
  }
  const auto it = mRunning.find(aTicket);
  if (it == mRunning.end()) {
    return;
  }
  const ActivePtr run = it->second;
  run->cancelled = true;
  if (run->call.bodyFollows) {
    run->timer->cancel();
    mRunning.erase(it);
    StartWaiting();
  } else if (run->call.idempotent && run->channel) {
    run->channel->Close();
  }
}

void Gate::StopAccepting()
{
  mAccepting = false;
  for (const WaitingRequest& it : mQueue.TakeAll()) {
    const auto waiting = mWaiting.extract(it.id);
    Refuse(waiting.mapped().done, ResultCode::kNodeStopping, Milliseconds(0));
  }
  NoteStatus();
}

void Gate::OnEvacuation()
{
  StartWaiting();
  NoteStatus();
}

void Gate::Tick()
{
  const TimePoint now = mClock.Now();
  for (const WaitingRequest& it : mQueue.TakeExpired(now)) {
    const auto waiting = mWaiting.extract(it.id);
    const Milliseconds wait = ExpectedWait(waiting.mapped().call.service, it.priority);
    Refuse(waiting.mapped().done, ResultCode::kGateQueueFull, wait);
  }
  for (const auto& [ticket, run] : mRunning) {
    if (!run->late && run->sent && now - run->begin > StallTime(run->call)) {
      run->late = true;
      mHealth.OnStall(now);
    }
  }
  StartWaiting();
  NoteStatus();
}

/** After this time without an answer a request has most likely stalled. */
Duration Gate::StallTime(const GateCall& aCall) const
{
  const std::chrono::duration<double, std::milli> target(aCall.latencyTarget);
  const double usual =
    std::max(kLeastStallRatio, mHealth.LatencyRatioAt(mClock.Now()) * kStallFactor);
  const auto limit = target.count() > 0 ? target * std::min(1.0, usual) : kUnknownStallTime;
  return std::chrono::duration_cast<Duration>(limit);
}

void Gate::StartWaiting()
{
  while (mQueue.Size() != 0) {
    std::optional<WaitingRequest> next = mQueue.TakeNext(mClock.Now());
    auto waiting = mWaiting.extract(next->id);
    if (const auto reason = WhyNot(waiting.mapped().call);
        reason && *reason != ResultCode::kGateEjected) {
      Refuse(waiting.mapped().done, *reason, Milliseconds(0));
      continue;
    }
    if (!HasRoom(waiting.mapped().call)) {
      mWaiting.insert(std::move(waiting));
      mQueue.Add(std::move(*next));
      return;
    }
    Start(next->id, std::move(waiting.mapped()));
  }
}

void Gate::NoteStatus()
{
  const bool available = IsAvailable();
  const UpstreamTrust trust = Trust();
  if (available == mLastAvailable && trust == mLastTrust) {
    return;
  }
  const bool doubted = trust != UpstreamTrust::kTrusted;
  if (doubted != (mLastTrust != UpstreamTrust::kTrusted)) {
    LogEvent(LogLevel::kInfo,
             doubted ? Event::kUpstreamDoubted : Event::kUpstreamReturned,
             { { "instance", mState.Current().instance },
               { "gray", std::to_string(mHealth.GrayProbabilityAt(mClock.Now())) } });
  }
  // Trials are given by nodes of the same failure domain, so others need not know that one is due.
  const bool forAll = available != mLastAvailable || trust == UpstreamTrust::kTrusted ||
                      mLastTrust == UpstreamTrust::kTrusted;
  mLastAvailable = available;
  mLastTrust = trust;
  mSurroundings.onStatusChange(forAll);
}

} // namespace mustardwinch
