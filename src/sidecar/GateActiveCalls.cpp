#include "sidecar/Gate.h"

#include "http/HttpText.h"
#include "mustardwinch/Event.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** A TCP handshake takes a millisecond; an upstream that does not accept within this time is down.
 */
constexpr Milliseconds kConnectTimeout{ 700 };

/** Time between connection attempts to an upstream that is down. */
constexpr Milliseconds kReconnectInterval{ 400 };

/** Upstreams close idle connections without notice, earlier than the announced limit, so a request
 * that must not be retried only reuses a connection that was idle for no longer than this. */
constexpr Milliseconds kMaxIdleForUnsafe{ 700 };
constexpr Milliseconds kDefaultIdleLimit{ 4'000 };

/** Fraction of the announced idle limit within which a connection is reused. */
constexpr double kIdleLimitShare = 0.7;

constexpr std::size_t kMaxPooled = 16;

/** Routes whose outcomes are counted; a service has a few. */
constexpr std::size_t kMaxEvidenceRoutes = 64;
constexpr std::size_t kMaxAnswerBytes = 16U << 20;

constexpr unsigned kFirstServerError = 500;

/** Weight of the newest answer in the smoothed answer time. */
constexpr double kAnswerTimeWeight = 0.1;

/** The same for its size; higher, since the first large answers must count soon. */
constexpr double kAnswerBytesWeight = 0.3;

/** An ingress waits a moment beyond its deadline, and a link may deliver a repeat late: that long
 * after its deadline a request may still come again. */
constexpr Milliseconds kLateRepeat{ 2'000 };

} // namespace

// Running requests, from the assignment of a slot to the answer.

bool Gate::TakePooled(ActiveCall& aActive)
{
  const TimePoint now = mClock.Now();
  std::erase_if(mPool, [&](const PooledConnection& aConnection) {
    if (aConnection.channel->IsOpen() && now < aConnection.idleUntil) {
      return false;
    }
    aConnection.channel->Close();
    return true;
  });
  const auto it = std::find_if(mPool.rbegin(), mPool.rend(), [&](const auto& aConnection) {
    return !aConnection.answered.Contains(now, aActive.call.requestId);
  });
  if (it == mPool.rend() || (!aActive.call.idempotent && now - it->idleSince > kMaxIdleForUnsafe)) {
    return false;
  }
  aActive.channel = std::move(it->channel);
  aActive.answered = std::move(it->answered);
  mPool.erase(std::next(it).base());
  return true;
}

/** Puts the connection of a call into the pool, or closes it. */
void Gate::ReleaseChannel(ActiveCall& aActive,
                          const HttpChannelResult& aResult,
                          const GateCallResult& aOutcome)
{
  const std::shared_ptr<HttpChannel> channel = std::move(aActive.channel);
  const TimePoint now = mClock.Now();
  const bool mayBeRepeated =
    aOutcome.outcome != CallOutcome::kAnswered || aOutcome.answer.status >= kFirstServerError;
  const bool remembered =
    !mayBeRepeated ||
    aActive.answered.Add(now, aActive.call.requestId, aActive.deadline + kLateRepeat);
  if (!aResult.reusable || !remembered || mPool.size() >= kMaxPooled) {
    channel->Close();
    return;
  }
  const auto limit = aResult.idleLimit
                       ? std::chrono::duration_cast<Duration>(*aResult.idleLimit * kIdleLimitShare)
                       : Duration(kDefaultIdleLimit);
  mPool.push_back({ channel, std::move(aActive.answered), now, now + limit });
}

void Gate::ClosePool()
{
  for (const PooledConnection& it : mPool) {
    it.channel->Close();
  }
  mPool.clear();
}

void Gate::Start(Ticket aTicket, QueuedCall aQueued)
{
  const TimePoint now = mClock.Now();
  mStarts.OnStart(now);
  ProbeWarmthIfNeeded();
  if (Trust() == UpstreamTrust::kTrialDue) {
    mHealth.OnTrial(now);
  }
  auto active = std::make_shared<ActiveCall>();
  active->call = std::move(aQueued.call);
  active->done = std::move(aQueued.done);
  active->begin = now;
  active->deadline = aQueued.deadline;
  active->timer = std::make_unique<boost::asio::steady_timer>(mLoop);
  mRunning.emplace(aTicket, active);
  if (!active->call.bodyFollows) {
    Send(aTicket, active);
    return;
  }
  active->body = std::make_unique<MemoryHolding>(mMemory);
  if (!active->body->TrySet(active->call.bodyBytes)) { // it was there when the call came
    GateCallResult result;
    result.outcome = CallOutcome::kRefused;
    result.reason = ResultCode::kGateNoMemory;
    Finish(aTicket, active, std::move(result));
    return;
  }
  AwaitBody(aTicket, active);
  aQueued.wantBody();
}

/** Sends the request on a pooled connection or a new one. */
void Gate::Send(Ticket aTicket, const ActivePtr& aActive)
{
  aActive->timer->expires_after(aActive->deadline - aActive->begin);
  aActive->timer->async_wait([aActive](const boost::system::error_code& aError) {
    // cancel() has no effect on a handler that is already queued when the answer arrives.
    if (!aError && aActive->channel) {
      aActive->timedOut = true;
      aActive->channel->Close();
    }
  });
  if (TakePooled(*aActive)) {
    aActive->pooled = true;
    SendRequest(aTicket, aActive);
    return;
  }
  Connect(aTicket, aActive);
}

void Gate::Connect(Ticket aTicket, const ActivePtr& aActive)
{
  aActive->pooled = false;
  aActive->channel = std::make_shared<HttpChannel>(mLoop, mAnswerBytes);
  auto limit = std::make_shared<boost::asio::steady_timer>(mLoop, kConnectTimeout);
  limit->async_wait([aActive, limit](const boost::system::error_code& aError) {
    if (!aError && !aActive->sent) {
      aActive->channel->Close();
    }
  });
  aActive->channel->Connect(
    mState.Current().address,
    [this, aTicket, aActive, limit](const boost::system::error_code& aError) {
      limit->cancel();
      if (!aError && !aActive->cancelled && !aActive->timedOut) {
        SendRequest(aTicket, aActive);
        return;
      }
      aActive->channel->Close();
      GateCallResult result;
      result.outcome = CallOutcome::kRefused;
      result.reason = ResultCode::kGateConnectFailed;
      if (aError && !aActive->cancelled) {
        mDownUntil = mClock.Now() + kReconnectInterval;
        mHealth.OnHardFailure(mClock.Now());
        LogEvent(LogLevel::kWarn,
                 Event::kUpstreamUnreachable,
                 { { "request", aActive->call.requestId }, { "error", aError.message() } });
      }
      Finish(aTicket, aActive, std::move(result));
    });
}

void Gate::SendRequest(Ticket aTicket, const ActivePtr& aActive)
{
  const TimePoint now = mClock.Now();
  const auto left = std::chrono::duration_cast<Milliseconds>(aActive->deadline - now);
  HttpRequest request = aActive->call.request;
  request.headers.push_back(
    { mNames.remaining, std::to_string(std::max<std::int64_t>(1, left.count())) });
  aActive->instance = mState.Current().instance;
  request.headers.push_back({ mNames.expectInstance, aActive->instance });
  aActive->sent = true;
  const std::string& id = aActive->call.requestId;
  aActive->channel->Exchange(
    FormatRequestHead(request, mState.Current().address.ToString()),
    kMaxAnswerBytes,
    request.method == "HEAD",
    [this, id](const HttpAnswer& aAnswer) { return BelongsTo(id, aAnswer); },
    [this, aTicket, aActive](HttpChannelResult aResult) {
      OnResponse(aTicket, aActive, std::move(aResult));
    },
    request.body);
}

/** Whether an answer on the connection of a request belongs to it; others are dropped. */
bool Gate::BelongsTo(const std::string& aRequestId, const HttpAnswer& aAnswer)
{
  const std::string_view echoed = HeaderValue(aAnswer.headers, mNames.requestId);
  const bool success = aAnswer.status >= 200 && aAnswer.status < 300;
  if (echoed == aRequestId || (echoed.empty() && !success)) {
    return true;
  }
  ++mDroppedAnswers;
  LogEvent(LogLevel::kWarn,
           Event::kAnswerDropped,
           { { "request", aRequestId },
             { "instance", mState.Current().instance },
             { "status", std::to_string(aAnswer.status) },
             { "id", std::string(echoed) } });
  return false;
}

void Gate::NoteRefusal(const ActiveCall& aActive,
                       const RefusalSigns& aSigns,
                       const GateCallResult& aResult)
{
  if (!aSigns.LooksLikeRefusal()) {
    return;
  }
  const bool believed =
    aResult.outcome == CallOutcome::kShed || aResult.outcome == CallOutcome::kRefused;
  ++(believed ? mBelievedRefusals : mDisbelievedRefusals);
  const auto took = std::chrono::duration_cast<Milliseconds>(mClock.Now() - aActive.begin);
  const auto yesNo = [](bool aIs) { return std::string(aIs ? "yes" : "no"); };
  LogEvent(LogLevel::kInfo,
           Event::kUpstreamRefusal,
           { { "request", aActive.call.requestId },
             { "instance", aActive.instance },
             { "status", std::to_string(aSigns.status) },
             { "not_run", yesNo(aSigns.saysNotRun) },
             { "signed", yesNo(aSigns.isSigned) },
             { "own_id", yesNo(aSigns.hasOwnId) },
             { "other_instance", yesNo(aSigns.namesAnother) },
             { "pooled", yesNo(!aSigns.newConnection) },
             { "believed", yesNo(believed) },
             { "ms", std::to_string(took.count()) } });
}

void Gate::OnResponse(Ticket aTicket, const ActivePtr& aActive, HttpChannelResult aResult)
{
  if (aResult.error && aActive->pooled) {
    ClosePool(); // the other pooled connections are as old
  }
  GateCallResult outcome = ClassifyResult(aActive, aResult);
  AddEvidence(*aActive, outcome);
  // Release the channel first, because the next request may use it at once.
  ReleaseChannel(*aActive, aResult, outcome);
  Finish(aTicket, aActive, std::move(outcome));
}

/** Counts an outcome for the comparison of versions; what a caller has cancelled says nothing. */
void Gate::AddEvidence(const ActiveCall& aActive, const GateCallResult& aResult)
{
  const TimePoint now = mClock.Now();
  const bool isNew = mEvidence.count(aActive.call.route) == 0;
  if (aActive.cancelled || aActive.call.route.empty() || !IsWarm() ||
      aResult.outcome == CallOutcome::kRefused ||
      (isNew && mEvidence.size() >= kMaxEvidenceRoutes)) {
    return;
  }
  RouteCounts& counts = mEvidence[aActive.call.route];
  if (aResult.outcome == CallOutcome::kAnswered && aResult.answer.status < kFirstServerError) {
    counts.AddSuccess(std::chrono::duration<double, std::milli>(now - aActive.begin).count());
  } else {
    counts.AddFailure();
  }
}

GateCallResult Gate::ClassifyResult(const ActivePtr& aActive, HttpChannelResult& aResult)
{
  const TimePoint now = mClock.Now();
  if (!aResult.error) {
    const RefusalSigns signs = ReadRefusalSigns(
      aResult.answer, mNames, aActive->call.requestId, aActive->instance, !aActive->pooled);
    GateCallResult result = ClassifyAnswer(aActive, std::move(aResult.answer), JudgeRefusal(signs));
    NoteRefusal(*aActive, signs, result);
    return result;
  }
  LogEvent(
    LogLevel::kInfo,
    Event::kUpstreamCallBroken,
    { { "request", aActive->call.requestId },
      { "instance", mState.Current().instance },
      { "error", aResult.error.message() },
      { "begun", aResult.begun ? "yes" : "no" },
      { "pooled", aActive->pooled ? "yes" : "no" },
      { "by",
        aActive->cancelled  ? "caller"
        : aActive->timedOut ? "deadline"
                            : "upstream" },
      { "ms",
        std::to_string(std::chrono::duration_cast<Milliseconds>(now - aActive->begin).count()) } });
  GateCallResult result;
  result.reached = true;
  if (aActive->timedOut) {
    result.outcome = CallOutcome::kTimedOut;
    result.reason = ResultCode::kDeadlineAfterSend;
    if (now - aActive->begin >= aActive->call.latencyTarget / 2 && !aActive->stalled) {
      mHealth.OnStall(now);
    }
    return result;
  }
  result.outcome = CallOutcome::kFailed;
  result.reason = aResult.begun ? ResultCode::kAnswerCut : ResultCode::kUpstreamFailed;
  if (!aActive->cancelled) {
    mHealth.OnHardFailure(now);
  }
  return result;
}

GateCallResult Gate::ClassifyAnswer(const ActivePtr& aActive,
                                    HttpAnswer aAnswer,
                                    RefusalVerdict aVerdict)
{
  const TimePoint now = mClock.Now();
  const auto took = now - aActive->begin;
  GateCallResult result;
  result.reached = true;
  const bool isSigned = FindHeader(aAnswer.headers, mNames.signature) != nullptr;
  switch (aVerdict) {
    case RefusalVerdict::kNoRefusal:
      break;
    case RefusalVerdict::kNotRun:
      mHealth.OnHardFailure(now);
      result.outcome = CallOutcome::kShed;
      result.reason = ResultCode::kGateShed;
      return result;
    case RefusalVerdict::kWrongInstance:
      if (aActive->instance == mState.Current().instance) { // else a later one has announced itself
        mState.OnWrongInstance();
      }
      result.outcome = CallOutcome::kRefused; // no upstream started the request
      result.reason = ResultCode::kGateUpstreamUnknown;
      return result;
    case RefusalVerdict::kMayHaveRun:
      mHealth.OnError(now);
      result.outcome = CallOutcome::kFailed;
      result.reason = ResultCode::kUpstreamFailed;
      return result;
  }
  const bool success = aAnswer.status < kFirstServerError;
  if (aAnswer.status >= 200 && aAnswer.status < 300 && !isSigned) {
    result.outcome = CallOutcome::kFailed;
    result.reason = ResultCode::kAnswerCut;
    mHealth.OnHardFailure(now);
    return result;
  }
  const double tookMs = std::chrono::duration<double, std::milli>(took).count();
  if (success) {
    const auto target = static_cast<double>(aActive->call.latencyTarget.count());
    if (!aActive->stalled) {
      mHealth.OnSuccess(now, target > 0 ? tookMs / target : 0);
    }
    mSmoothedAnswerMs += kAnswerTimeWeight * (tookMs - mSmoothedAnswerMs);
    const auto bytes = static_cast<double>(aAnswer.body.size());
    mSmoothedAnswerBytes += kAnswerBytesWeight * (bytes - mSmoothedAnswerBytes);
  } else {
    mHealth.OnError(now);
  }
  mLatencies.Add(aActive->call.organisation, success ? "answered" : "failed", took);
  result.outcome = CallOutcome::kAnswered;
  result.answer = std::move(aAnswer);
  return result;
}

void Gate::Finish(Ticket aTicket, const ActivePtr& aActive, GateCallResult aResult)
{
  aActive->timer->cancel();
  mRunning.erase(aTicket);
  aResult.running = Running();
  aResult.queued = Queued();
  const ResultFn done = std::move(aActive->done);
  done(std::move(aResult));
  StartQueued();
  PublishStatusIfChanged();
}

} // namespace mustardwinch
