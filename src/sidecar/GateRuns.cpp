#include "sidecar/Gate.h"

#include "http/HttpText.h"
#include "mustardwinch/Event.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** A handshake takes a millisecond; an upstream that does not answer for this long is down. */
constexpr Milliseconds kConnectTimeout{ 700 };

/** A down upstream is asked for a connection this often. */
constexpr Milliseconds kDownPause{ 400 };

/** Upstreams drop idle connections without notice, sooner than they say; a request that must not be
 *  repeated only uses one that was in use a moment ago. */
constexpr Milliseconds kFreshIdle{ 700 };
constexpr Milliseconds kUsualIdleLimit{ 4'000 };

/** Share of the announced idle limit up to which a connection is used. */
constexpr double kIdleShare = 0.7;

constexpr std::size_t kMaxPooled = 16;
constexpr std::size_t kMaxAnswerBytes = 64U << 20;
constexpr double kWorkWeight = 0.1; //!< of the newest answer in the smoothed work time

/** A body takes 50 ms on a link of 10 Mbit/s; after this time the ingress or the path is gone. */
constexpr Milliseconds kBodyTimeout{ 1'000 };

} // namespace

// Requests at the upstream, from the slot to the answer.

std::shared_ptr<HttpChannel> Gate::TakePooled(bool aIdempotent)
{
  const TimePoint now = mClock.Now();
  std::erase_if(mPool, [&](const std::shared_ptr<HttpChannel>& aChannel) {
    if (aChannel->IsOpen() && now < aChannel->idleUntil) {
      return false;
    }
    aChannel->Close();
    return true;
  });
  if (mPool.empty() || (!aIdempotent && now - mPool.back()->idleSince > kFreshIdle)) {
    return nullptr;
  }
  std::shared_ptr<HttpChannel> channel = mPool.back();
  mPool.pop_back();
  return channel;
}

void Gate::ClosePool()
{
  for (const auto& it : mPool) {
    it->Close();
  }
  mPool.clear();
}

void Gate::Start(Ticket aTicket, Waiting aWaiting)
{
  const TimePoint now = mClock.Now();
  mStarts.OnStart(now);
  if (Trust() == UpstreamTrust::kTrialDue) {
    mHealth.OnTrial(now);
  }
  auto run = std::make_shared<ActiveCall>();
  run->call = std::move(aWaiting.call);
  run->done = std::move(aWaiting.done);
  run->begin = now;
  run->deadline = aWaiting.deadline;
  run->timer = std::make_unique<boost::asio::steady_timer>(mLoop);
  mRunning.emplace(aTicket, run);
  if (run->call.bodyFollows) {
    AwaitBody(aTicket, run);
    aWaiting.wantBody();
    return;
  }
  Send(aTicket, run);
}

void Gate::AwaitBody(Ticket aTicket, const ActivePtr& aRun)
{
  aRun->timer->expires_after(std::min<Duration>(aRun->deadline - aRun->begin, kBodyTimeout));
  aRun->timer->async_wait([this, aTicket, aRun](const boost::system::error_code& aError) {
    if (aError || !aRun->call.bodyFollows || mRunning.count(aTicket) == 0) {
      return; // it came, or nobody waits for it any more
    }
    GateCallResult result;
    result.outcome = CallOutcome::kRefused;
    result.reason = ResultCode::kLinkTimeout;
    Finish(aTicket, aRun, std::move(result));
  });
}

void Gate::GiveBody(Ticket aTicket, std::string aBody)
{
  const auto it = mRunning.find(aTicket);
  if (it == mRunning.end() || !it->second->call.bodyFollows) {
    return;
  }
  const ActivePtr run = it->second;
  run->call.request.body = std::move(aBody);
  run->call.bodyFollows = false;
  run->begin = mClock.Now();
  Send(aTicket, run);
}

/** On a pooled connection or a new one. */
void Gate::Send(Ticket aTicket, const ActivePtr& aRun)
{
  aRun->timer->expires_after(aRun->deadline - aRun->begin);
  aRun->timer->async_wait([aRun](const boost::system::error_code& aError) {
    // A handler that is queued when the answer comes cannot be cancelled any more.
    if (!aError && aRun->channel) {
      aRun->timedOut = true;
      aRun->channel->Close();
    }
  });
  aRun->channel = TakePooled(aRun->call.idempotent);
  if (aRun->channel) {
    aRun->pooled = true;
    Exchange(aTicket, aRun);
    return;
  }
  Connect(aTicket, aRun);
}

void Gate::Connect(Ticket aTicket, const ActivePtr& aRun)
{
  aRun->pooled = false;
  aRun->channel = std::make_shared<HttpChannel>(mLoop);
  auto limit = std::make_shared<boost::asio::steady_timer>(mLoop, kConnectTimeout);
  limit->async_wait([aRun, limit](const boost::system::error_code& aError) {
    if (!aError && !aRun->sent) {
      aRun->channel->Close();
    }
  });
  aRun->channel->Connect(
    mState.Current().address,
    [this, aTicket, aRun, limit](const boost::system::error_code& aError) {
      limit->cancel();
      if (!aError && !aRun->cancelled && !aRun->timedOut) {
        Exchange(aTicket, aRun);
        return;
      }
      aRun->channel->Close();
      GateCallResult result;
      result.outcome = CallOutcome::kRefused;
      result.reason = ResultCode::kGateConnectFailed;
      if (aError && !aRun->cancelled) {
        mDownUntil = mClock.Now() + kDownPause;
        mHealth.OnHardFailure(mClock.Now());
        LogEvent(LogLevel::kWarn,
                 Event::kUpstreamUnreachable,
                 { { "request", aRun->call.requestId }, { "error", aError.message() } });
      }
      Finish(aTicket, aRun, std::move(result));
    });
}

void Gate::Exchange(Ticket aTicket, const ActivePtr& aRun)
{
  const TimePoint now = mClock.Now();
  const auto left = std::chrono::duration_cast<Milliseconds>(aRun->deadline - now);
  HttpRequest request = aRun->call.request;
  request.headers.push_back(
    { mNames.remaining, std::to_string(std::max<std::int64_t>(1, left.count())) });
  request.headers.push_back({ mNames.expectInstance, mState.Current().instance });
  aRun->sent = true;
  const std::string& id = aRun->call.requestId;
  aRun->channel->Exchange(
    FormatRequest(request, mState.Current().address.ToString()),
    kMaxAnswerBytes,
    request.method == "HEAD",
    [this, id](const HttpAnswer& aAnswer) {
      const std::string_view echoed = HeaderValue(aAnswer.headers, mNames.requestId);
      const bool success = aAnswer.status >= 200 && aAnswer.status < 300;
      return echoed == id || (echoed.empty() && !success);
    },
    [this, aTicket, aRun](HttpChannelResult aResult) {
      OnExchanged(aTicket, aRun, std::move(aResult));
    });
}

void Gate::OnExchanged(Ticket aTicket, const ActivePtr& aRun, HttpChannelResult aResult)
{
  const TimePoint now = mClock.Now();
  if (aResult.error && aRun->pooled) {
    ClosePool(); // the others are as old
  }
  // The channel is no longer this request's: the next one may use it at once.
  const std::shared_ptr<HttpChannel> channel = std::move(aRun->channel);
  if (aResult.reusable && mPool.size() < kMaxPooled) {
    const auto limit = aResult.idleLimit
                         ? std::chrono::duration_cast<Duration>(*aResult.idleLimit * kIdleShare)
                         : Duration(kUsualIdleLimit);
    channel->idleSince = now;
    channel->idleUntil = now + limit;
    mPool.push_back(channel);
  } else {
    channel->Close();
  }
  Finish(aTicket, aRun, Judge(aRun, aResult));
}

GateCallResult Gate::Judge(const ActivePtr& aRun, HttpChannelResult& aResult)
{
  const TimePoint now = mClock.Now();
  if (!aResult.error) {
    return JudgeAnswer(aRun, std::move(aResult.answer));
  }
  LogEvent(
    LogLevel::kInfo,
    Event::kUpstreamCallBroken,
    { { "request", aRun->call.requestId },
      { "instance", mState.Current().instance },
      { "error", aResult.error.message() },
      { "begun", aResult.begun ? "yes" : "no" },
      { "pooled", aRun->pooled ? "yes" : "no" },
      { "by",
        aRun->cancelled  ? "caller"
        : aRun->timedOut ? "deadline"
                         : "upstream" },
      { "ms",
        std::to_string(std::chrono::duration_cast<Milliseconds>(now - aRun->begin).count()) } });
  GateCallResult result;
  result.reached = true;
  if (aRun->timedOut) {
    result.outcome = CallOutcome::kTimedOut;
    result.reason = ResultCode::kDeadlineAfterSend;
    if (now - aRun->begin >= aRun->call.latencyTarget / 2 && !aRun->late) {
      mHealth.OnStall(now);
    }
    return result;
  }
  result.outcome = CallOutcome::kFailed;
  result.reason = aResult.begun ? ResultCode::kAnswerCut : ResultCode::kUpstreamFailed;
  if (!aRun->cancelled) {
    mHealth.OnHardFailure(now);
  }
  return result;
}

GateCallResult Gate::JudgeAnswer(const ActivePtr& aRun, HttpAnswer aAnswer)
{
  const TimePoint now = mClock.Now();
  const auto took = now - aRun->begin;
  GateCallResult result;
  result.reached = true;
  const bool isSigned = FindHeader(aAnswer.headers, mNames.signature) != nullptr;
  const bool notRun = FindHeader(aAnswer.headers, mNames.notRun) != nullptr;
  if (notRun || aAnswer.status == 421) {
    result.outcome = CallOutcome::kShed;
    result.reason = ResultCode::kGateShed;
    if (aAnswer.status == 421) {
      mState.OnWrongInstance();
      result.outcome = CallOutcome::kRefused; // it is certain that no upstream began with it
      result.reason = ResultCode::kGateUpstreamUnknown;
    } else {
      mHealth.OnHardFailure(now);
    }
    return result;
  }
  const bool success = aAnswer.status < 500;
  if (aAnswer.status >= 200 && aAnswer.status < 300 && !isSigned) {
    result.outcome = CallOutcome::kFailed;
    result.reason = ResultCode::kAnswerCut;
    mHealth.OnHardFailure(now);
    return result;
  }
  const double tookMs = std::chrono::duration<double, std::milli>(took).count();
  if (success) {
    const auto target = static_cast<double>(aRun->call.latencyTarget.count());
    if (!aRun->late) {
      mHealth.OnSuccess(now, target > 0 ? tookMs / target : 0);
    }
    mWorkMs += kWorkWeight * (tookMs - mWorkMs);
  } else {
    mHealth.OnError(now);
  }
  mTimes.Add(aRun->call.organisation, success ? "answered" : "failed", took);
  result.outcome = CallOutcome::kAnswered;
  result.answer = std::move(aAnswer);
  return result;
}

void Gate::Finish(Ticket aTicket, const ActivePtr& aRun, GateCallResult aResult)
{
  aRun->timer->cancel();
  mRunning.erase(aTicket);
  aResult.running = Running();
  aResult.queued = Queued();
  const ResultFn done = std::move(aRun->done);
  done(std::move(aResult));
  StartWaiting();
  NoteStatus();
}

} // namespace mustardwinch
