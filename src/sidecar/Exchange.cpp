#include "sidecar/Exchange.h"

#include "http/HttpText.h"
#include "ingress/ForwardHeaders.h"
#include "mustardwinch/Event.h"
#include "sidecar/RequestDeadline.h"
#include "sidecar/RouteMatch.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace mustardwinch {
namespace {

/** Number of gates that may refuse because they are full before the request queues at the best
 * gate. */
constexpr std::uint32_t kMaxRefusals = 4;

/** Calls of upstreams are short and go first in a queue, so they wait less there than for refusals.
 */
constexpr std::uint32_t kMaxRefusalsOfCall = 1;

/** Fraction of the latency target after which an idempotent request is hedged at a second upstream.
 */
constexpr double kHedgeShare = 0.55;
constexpr Milliseconds kMinHedgeDelay{ 150 };

/** Fraction of the latency target that a request waits for a gate to become available. kMaxWait
 * also bounds the wait for a rate token. */
constexpr double kWaitShare = 0.1;
constexpr Milliseconds kMaxWait{ 150 };

/** Time after the deadline in which the answer of an upstream that enforces the deadline itself can
 * still arrive. */
constexpr Milliseconds kDeadlineSlack{ 40 };

constexpr Milliseconds kDefaultRetryAfter{ 400 };
constexpr Milliseconds kMaxRetryAfter{ 2'000 };

std::string FormatSeconds(Milliseconds aTime)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f", static_cast<double>(aTime.count()) / 1000);
  return buf.data();
}

} // namespace

Exchange::Exchange(Ingress& aIngress, std::shared_ptr<HttpSession> aSession, HttpRequest aRequest)
  : mIngress(aIngress)
  , mServices(aIngress.mServices)
  , mOpen(aIngress.mOpen)
  , mSession(std::move(aSession))
  , mRequest(std::move(aRequest))
  , mStartTime(mServices.clock.Now())
  , mDeadlineTimer(mServices.loop)
  , mHedgeTimer(mServices.loop)
  , mWaitTimer(mServices.loop)
{
  mOpen->insert(this);
}

Exchange::~Exchange()
{
  mOpen->erase(this);
}

void Exchange::Start()
{
  mSession->OnGone([self = shared_from_this()] { self->OnCallerDisconnected(); });
  mRequestId = std::string(HeaderValue(mRequest.headers, mServices.names.requestId));
  mRouting = mServices.routing();
  if (!mRouting) {
    Fail(503, "no-configuration", kDefaultRetryAfter);
    return;
  }
  if (FindRoute()) {
    StartTimers();
    AcquireRateToken(true);
  }
}

bool Exchange::FindRoute()
{
  const RouteMatch match =
    MatchRequest(*mRouting, mServices.names, mRequest, mServices.mayAcceptKeys());
  mRoute = match.route;
  mOrganisation = match.organisation;
  if (match.refusal != 0) {
    Fail(match.refusal, match.why, match.refusal == 503 ? kDefaultRetryAfter : Milliseconds(0));
    return false;
  }
  mDeadline = DeadlineOf(mRequest, *mRoute, mServices.names, mStartTime);
  if (!mIngress.MayTake(mDeadline)) {
    Fail(503, "node-stopping", kDefaultRetryAfter);
    return false;
  }
  const std::string key(HeaderValue(mRequest.headers, mServices.names.key));
  mService = mIngress.ChooseTargetOf(*mRoute);
  mForNewVersion = mServices.drawNewVersion(mService);
  mPlacement.service = mService;
  mPlacement.bodyBytes = mRequest.body.size() + mIngress.ExpectedAnswerBytes(mRoute->name);
  mPlacement.randomBits = mIngress.mRandom();
  const HttpNames& names = mServices.names;
  std::erase_if(mRequest.headers, [&](const HttpHeader& aHeader) {
    return SameHeaderName(aHeader.name, names.key) ||
           SameHeaderName(aHeader.name, names.organisation) ||
           SameHeaderName(aHeader.name, names.callerService) ||
           SameHeaderName(aHeader.name, names.expectInstance) ||
           SameHeaderName(aHeader.name, names.remaining) || IsHopByHopHeader(aHeader.name) ||
           (!key.empty() && aHeader.value.find(key) != std::string::npos);
  });
  mRequest.headers.push_back({ names.callerService, mServices.callerService() });
  if (mOrganisation != nullptr) {
    mRequest.headers.push_back({ names.organisation, mOrganisation->organisation.name });
  }
  return true;
}

void Exchange::StartTimers()
{
  mDeadlineTimer.expires_after(mDeadline - mServices.clock.Now() + kDeadlineSlack);
  mDeadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (aError || self->mEnded) {
      return;
    }
    self->OnDeadline();
  });
  if (!mRoute->idempotent || mRoute->latencyTarget.count() == 0) {
    return;
  }
  const auto delay = std::chrono::duration_cast<Milliseconds>(mRoute->latencyTarget * kHedgeShare);
  mHedgeTimer.expires_after(std::max(delay, kMinHedgeDelay));
  mHedgeTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError && !self->mEnded) {
      self->OnHedgeTimer();
    }
  });
}

void Exchange::OnDeadline()
{
  if (mFailedAnswer) {
    Deliver(*mFailedAnswer, "upstream-failure");
    return;
  }
  // A request that no gate has, and none may have started, can be sent again by its caller.
  const bool certainlyNotRun = !mMayHaveRun && mSent == 0 && mAttempts.empty();
  Fail(certainlyNotRun ? 503 : 504,
       "deadline",
       certainlyNotRun ? std::max(mExpectedWait, kDefaultRetryAfter) : Milliseconds(0));
}

void Exchange::AcquireRateToken(bool aMayWait)
{
  if (mOrganisation == nullptr || mOrganisation->organisation.ratePerSecond <= 0) {
    OnRate({ RateVerdict::Kind::kGranted, {}, "none" }, aMayWait);
    return;
  }
  mServices.acquireRateToken(mOrganisation->organisation,
                             [self = shared_from_this(), aMayWait](const RateVerdict& aVerdict) {
                               if (!self->mEnded) {
                                 self->OnRate(aVerdict, aMayWait);
                               }
                             });
}

void Exchange::OnRate(const RateVerdict& aVerdict, bool aMayWait)
{
  mRateDecidedBy = aVerdict.decidedBy;
  if (aVerdict.kind == RateVerdict::Kind::kGranted) {
    mServices.retries(mService).OnRequest();
    ChargeInnerCallOfRetry();
    Place();
    return;
  }
  if (!aMayWait || aVerdict.wait > kMaxWait) {
    Fail(429, "rate-exceeded", std::max(aVerdict.wait, kDefaultRetryAfter));
    return;
  }
  mWaitTimer.expires_after(aVerdict.wait);
  mWaitTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError && !self->mEnded) {
      self->AcquireRateToken(false);
    }
  });
}

/** A retried request sends its inner calls again: they count as retries for the service called. */
void Exchange::ChargeInnerCallOfRetry()
{
  const double share = IsInnerCall() ? mServices.retryShare() : 0;
  constexpr std::uint64_t kRange = 1024;
  if (static_cast<double>(mIngress.mRandom() % kRange) < share * kRange) {
    mServices.acquireRetry(mService, [](bool) {}); // the call runs even if the budget denies it
  }
}

Milliseconds Exchange::RemainingTime() const
{
  return std::chrono::duration_cast<Milliseconds>(mDeadline - mServices.clock.Now());
}

void Exchange::Place()
{
  if (mEnded) {
    return;
  }
  const std::uint32_t maxRefusals = IsInnerCall() ? kMaxRefusalsOfCall : kMaxRefusals;
  if (!mQueued && mRefused < maxRefusals && TryPlace(false, false)) {
    return;
  }
  if (!mQueued) {
    mQueued = true;
    mPlacement.excluded.clear();
    if (TryPlace(true, false)) {
      return;
    }
  }
  if (mRefused <= 2 * kMaxRefusals && TryPlace(true, true)) {
    return;
  }
  if (IsIdle()) {
    GiveUp();
  }
}

/** Called if no gate accepts the request now. */
void Exchange::GiveUp()
{
  const auto maxGateWait = std::chrono::duration_cast<Milliseconds>(
    std::max(mRoute->latencyTarget, Milliseconds(1'000)) * kWaitShare);
  if (!mWaitedForGate && !mFailedAnswer && mExpectedWait <= maxGateWait &&
      RemainingTime() > 2 * maxGateWait) {
    mWaitedForGate = true;
    mQueued = false;
    mRefused = 0;
    mPlacement.excluded.clear();
    mWaitTimer.expires_after(std::min(maxGateWait, kMaxWait));
    mWaitTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->Place();
      }
    });
    return;
  }
  if (mFailedAnswer) {
    Deliver(*mFailedAnswer, "upstream-failure");
    return;
  }
  if (mMayHaveRun) {
    Fail(502, mLastReason, Milliseconds(0));
    return;
  }
  const std::string why = mLastReason.empty() ? "no-upstream" : mLastReason;
  Fail(503, why, std::clamp(mExpectedWait, kDefaultRetryAfter, kMaxRetryAfter));
}

void Exchange::Deliver(const HttpAnswer& aAnswer, const std::string& aWhy)
{
  if (mEnded) {
    return;
  }
  mSession->Answer(aAnswer);
  End(aAnswer.status, aWhy);
}

void Exchange::Fail(unsigned aStatus, const std::string& aWhy, Milliseconds aRetryAfter)
{
  if (mEnded) {
    return;
  }
  HttpAnswer answer = MakeTextAnswer(aStatus, aWhy);
  if (!mRequestId.empty()) {
    answer.headers.push_back({ mServices.names.requestId, mRequestId });
  }
  if (aRetryAfter.count() > 0) {
    answer.headers.push_back({ mServices.names.retryAfter, FormatSeconds(aRetryAfter) });
  }
  mSession->Answer(answer);
  End(aStatus, aWhy);
}

void Exchange::OnNodeExit()
{
  if (mFailedAnswer) {
    Deliver(*mFailedAnswer, "upstream-failure");
    return;
  }
  // A gate may already have started a pending attempt.
  const bool mayHaveRun = mMayHaveRun || !mAttempts.empty();
  Fail(mayHaveRun ? 502 : 503, "node-stopping", mayHaveRun ? Milliseconds(0) : kDefaultRetryAfter);
}

void Exchange::OnCallerDisconnected()
{
  constexpr unsigned kCallerGoneStatus = 499;
  End(kCallerGoneStatus, "caller-gone");
}

void Exchange::End(unsigned aStatus, const std::string& aWhy)
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  mSession->OnGone(nullptr);
  mDeadlineTimer.cancel();
  mHedgeTimer.cancel();
  mWaitTimer.cancel();
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt.cancel) {
      attempt.cancel();
    }
  }
  mAttempts.clear();
  const auto took = mServices.clock.Now() - mStartTime;
  ++mIngress.mStatusCounts[aStatus];
  const std::string organisation =
    mOrganisation != nullptr ? mOrganisation->organisation.name : std::string();
  mIngress.mLatencies.Add(organisation, mRoute != nullptr ? mRoute->name : "none", took);
  LogEvent(LogLevel::kInfo,
           Event::kRequestDone,
           { { "request", mRequestId },
             { "status", std::to_string(aStatus) },
             { "why", aWhy },
             { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(took).count()) },
             { "organisation", organisation },
             { "route", mRoute != nullptr ? mRoute->name : std::string() },
             { "service", mService },
             { "vm", mLastVm },
             { "sent", std::to_string(mSent) },
             { "refusals", std::to_string(mRefused) },
             { "budget", mRetryDenied ? "empty" : "ok" },
             { "rate", mRateDecidedBy.empty() ? "part" : mRateDecidedBy },
             { "config", mRouting ? std::to_string(mRouting->Config().version) : "none" } });
}

} // namespace mustardwinch
