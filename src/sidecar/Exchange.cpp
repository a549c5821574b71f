#include "sidecar/Exchange.h"

#include "http/HttpText.h"
#include "ingress/ForwardHeaders.h"
#include "mustardwinch/Event.h"
#include "sidecar/SplitChoice.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace mustardwinch {
namespace {

/** Gates that may refuse for want of a slot before the request queues at the best of them. */
constexpr std::uint32_t kMaxRefusals = 4;

/** Part of the latency target after which an idempotent request is sent to a second upstream. */
constexpr double kHedgeShare = 0.55;
constexpr Milliseconds kMinHedgeDelay{ 150 };

/** Part of the latency target that a request waits for a gate or a token to appear. */
constexpr double kWaitShare = 0.1;
constexpr Milliseconds kLongestWait{ 150 };

/** The answer of an upstream that stops at its own deadline still arrives. */
constexpr Milliseconds kAnswerSlack{ 40 };

/** An idempotent request is not repeated with less time left than this. */
constexpr Milliseconds kLeastTimeToRepeat{ 120 };

/** A refusal that took longer came from a queue. */
constexpr Milliseconds kWaitedInQueue{ 100 };

constexpr Milliseconds kRetryAfterDefault{ 400 };
constexpr Milliseconds kRetryAfterMost{ 2'000 };

std::string FormatSeconds(Milliseconds aTime)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f", static_cast<double>(aTime.count()) / 1000);
  return buf.data();
}

std::optional<Milliseconds> ParseMilliseconds(std::string_view aText)
{
  std::int64_t n = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return result.ec == std::errc() && n > 0 ? std::optional(Milliseconds(n)) : std::nullopt;
}

} // namespace

Exchange::Exchange(Ingress& aIngress, std::shared_ptr<HttpSession> aSession, HttpRequest aRequest)
  : mIngress(aIngress)
  , mServices(aIngress.mServices)
  , mOpen(aIngress.mOpen)
  , mSession(std::move(aSession))
  , mRequest(std::move(aRequest))
  , mBegin(mServices.clock.Now())
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
  mSession->OnGone([self = shared_from_this()] { self->OnGone(); });
  mRequestId = std::string(HeaderValue(mRequest.headers, mServices.names.requestId));
  if (!mIngress.mTaking) {
    Fail(503, "node-stopping", kRetryAfterDefault);
    return;
  }
  mRouting = mServices.routing();
  if (!mRouting) {
    Fail(503, "no-configuration", kRetryAfterDefault);
    return;
  }
  if (FindRoute()) {
    StartTimers();
    AskRate(true);
  }
}

bool Exchange::FindRoute()
{
  const std::string_view host = HeaderValue(mRequest.headers, "Host");
  mRoute = mRouting->FindRoute(host, mRequest.target);
  if (mRoute == nullptr) {
    Fail(404, "no-route", Milliseconds(0));
    return false;
  }
  const std::string key(HeaderValue(mRequest.headers, mServices.names.key));
  mOrganisation = key.empty() ? nullptr : mRouting->FindByKey(key);
  const bool keyed = !mRouting->Config().organisations.empty() && !mRoute->open;
  if (keyed && mOrganisation == nullptr) {
    Fail(401, key.empty() ? "key-missing" : "key-unknown", Milliseconds(0));
    return false;
  }
  const auto waits = ParseMilliseconds(HeaderValue(mRequest.headers, mServices.names.remaining));
  mDeadline = mBegin + std::min(mRoute->timeout, waits.value_or(mRoute->timeout));
  mService = ChooseTarget(*mRoute, mIngress.mSplitPosition[mRoute->name]);
  mPlacement.service = mService;
  mPlacement.bodyBytes = mRequest.body.size() + mIngress.ExpectedAnswerBytes(mRoute->name);
  mPlacement.draw = mIngress.mRandom();
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
  mDeadlineTimer.expires_after(mDeadline - mServices.clock.Now() + kAnswerSlack);
  mDeadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (aError || self->mEnded) {
      return;
    }
    if (self->mFailedAnswer) {
      self->Deliver(*self->mFailedAnswer, "upstream-failure");
    } else {
      self->Fail(504, "deadline", Milliseconds(0));
    }
  });
  if (!mRoute->idempotent || mRoute->latencyTarget.count() == 0) {
    return;
  }
  const auto delay = std::chrono::duration_cast<Milliseconds>(mRoute->latencyTarget * kHedgeShare);
  mHedgeTimer.expires_after(std::max(delay, kMinHedgeDelay));
  mHedgeTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError && !self->mEnded) {
      self->OnHedgeTime();
    }
  });
}

void Exchange::AskRate(bool aMayWait)
{
  if (mOrganisation == nullptr || mOrganisation->organisation.ratePerSecond <= 0) {
    OnRate({ RateVerdict::Kind::kGranted, {}, "none" }, aMayWait);
    return;
  }
  mServices.askRate(mOrganisation->organisation,
                    [self = shared_from_this(), aMayWait](const RateVerdict& aVerdict) {
                      if (!self->mEnded) {
                        self->OnRate(aVerdict, aMayWait);
                      }
                    });
}

void Exchange::OnRate(const RateVerdict& aVerdict, bool aMayWait)
{
  mRateCounter = aVerdict.counter;
  if (aVerdict.kind == RateVerdict::Kind::kGranted) {
    mServices.retries(mService).OnRequest();
    ChargeCallOfRepeat();
    Place();
    return;
  }
  if (!aMayWait || aVerdict.wait > kLongestWait) {
    Fail(429, "rate-exceeded", std::max(aVerdict.wait, kRetryAfterDefault));
    return;
  }
  mWaitTimer.expires_after(aVerdict.wait);
  mWaitTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError && !self->mEnded) {
      self->AskRate(false);
    }
  });
}

/** A repeated request makes its calls again, and these are repeats for the service called. */
void Exchange::ChargeCallOfRepeat()
{
  const bool isCall = mOrganisation == nullptr && mRoute->open;
  const double share = isCall ? mServices.repeatShare() : 0;
  constexpr std::uint64_t kRange = 1024;
  if (static_cast<double>(mIngress.mRandom() % kRange) < share * kRange) {
    mServices.askRepeat(mService, [](bool) {}); // it runs in any case
  }
}

Milliseconds Exchange::Left() const
{
  return std::chrono::duration_cast<Milliseconds>(mDeadline - mServices.clock.Now());
}

void Exchange::Place()
{
  if (mEnded) {
    return;
  }
  if (!mQueued && mRefused < kMaxRefusals && TryPlace(false, false)) {
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
  if (mAttempts.empty() && !mAsksRepeat) {
    GiveUp();
  }
}

/** No gate can take the request now. */
void Exchange::GiveUp()
{
  const auto patience = std::chrono::duration_cast<Milliseconds>(
    std::max(mRoute->latencyTarget, Milliseconds(1'000)) * kWaitShare);
  if (!mWaitedForGate && !mFailedAnswer && mExpectedWait <= patience && Left() > 2 * patience) {
    mWaitedForGate = true;
    mQueued = false;
    mRefused = 0;
    mPlacement.excluded.clear();
    mWaitTimer.expires_after(std::min(patience, kLongestWait));
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
  Fail(503, why, std::clamp(mExpectedWait, kRetryAfterDefault, kRetryAfterMost));
}

bool Exchange::TryPlace(bool aMayWait, bool aLastResort)
{
  while (true) {
    const std::vector<const GateView*> views = mServices.gates.views();
    mPlacement.lastResort = aLastResort;
    // What fails and is not repeated then is no trial for doubtful upstreams.
    mPlacement.idempotent = mRoute->idempotent && mSent + 1 < mRoute->maxAttempts;
    mPlacement.fewProven = PlacementPolicy::FewProven(views, mService);
    const int chosen = mIngress.mPlacement.Choose(views, mPlacement, mServices.clock.Now());
    if (chosen < 0) {
      return false;
    }
    // A trial is for the gate to allow; it bounds them.
    const UpstreamTrust trust = views[static_cast<std::size_t>(chosen)]->trust;
    const bool trial = mPlacement.idempotent && trust == UpstreamTrust::kTrialDue;
    const bool inDoubt = aLastResort || (mPlacement.fewProven && !trial);
    const std::string vm = views[static_cast<std::size_t>(chosen)]->vm;
    mPlacement.excluded.insert(vm);
    mServices.gates.noteChosen(vm);
    const std::uint64_t id = mNextAttempt++;
    mAttempts.emplace(id, Attempt{ vm, mServices.clock.Now(), aMayWait, {} });
    GateDirectory::CancelFn cancel = mServices.gates.submit(
      vm, MakeCall(aMayWait, inDoubt), [self = shared_from_this(), id](GateCallResult aResult) {
        self->OnResult(id, std::move(aResult));
      });
    if (!cancel) {
      mAttempts.erase(id);
      continue;
    }
    const auto it = mAttempts.find(id);
    if (it != mAttempts.end()) {
      it->second.cancel = std::move(cancel);
    }
    mLastVm = vm;
    return true;
  }
}

GateCall Exchange::MakeCall(bool aMayWait, bool aLastResort) const
{
  GateCall call;
  call.requestId = mRequestId;
  call.service = mService;
  call.request = mRequest;
  call.remaining = std::max(Left(), Milliseconds(1));
  call.latencyTarget = mRoute->latencyTarget;
  call.priority = mOrganisation != nullptr && mOrganisation->priority ? *mOrganisation->priority
                                                                      : mRoute->priority;
  call.organisation = mOrganisation != nullptr ? mOrganisation->organisation.name : std::string();
  call.idempotent = mRoute->idempotent;
  call.mayWait = aMayWait;
  call.lastResort = aLastResort;
  call.repeat = mSent > 0 || mAttempts.size() > 1; // this one is among them
  return call;
}

void Exchange::OnResult(std::uint64_t aAttempt, GateCallResult aResult)
{
  const auto attempt = mAttempts.extract(aAttempt);
  if (mEnded || attempt.empty()) {
    return;
  }
  if (aResult.reason) {
    mLastReason = make_error_code(*aResult.reason).message();
    const auto took = mServices.clock.Now() - attempt.mapped().begin;
    LogEvent(LogLevel::kInfo,
             Event::kAttemptEnded,
             { { "request", mRequestId },
               { "vm", attempt.mapped().vm },
               { "code", std::to_string(static_cast<int>(*aResult.reason)) },
               { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(took).count()) },
               { "reached", aResult.reached ? "yes" : "no" } });
  }
  mSent += aResult.reached ? 1 : 0;
  const bool repeat = aResult.reached && mSent > 1;
  if (repeat && mOrganisation != nullptr) {
    mServices.noteRepeat(mOrganisation->organisation.name);
  }
  switch (aResult.outcome) {
    case CallOutcome::kAnswered:
      OnAnswered(std::move(aResult));
      break;
    case CallOutcome::kRefused:
    case CallOutcome::kShed:
      OnRefused(attempt.mapped(), aResult);
      break;
    case CallOutcome::kFailed:
    case CallOutcome::kTimedOut:
      OnLost(aResult);
      break;
  }
}

bool Exchange::CanRepeat() const
{
  return !mAsksRepeat && mSent + mAttempts.size() < mRoute->maxAttempts &&
         Left() > kLeastTimeToRepeat;
}

void Exchange::Repeat()
{
  if (!CanRepeat()) {
    GiveUpIfIdle();
    return;
  }
  if (mServices.retries(mService).TryTake()) {
    OnRepeatVerdict(true);
    return;
  }
  mAsksRepeat = true;
  mServices.askRepeat(mService, [self = shared_from_this()](bool aGranted) {
    if (!self->mEnded) {
      self->OnRepeatVerdict(aGranted);
    }
  });
}

void Exchange::OnRepeatVerdict(bool aGranted)
{
  mAsksRepeat = false;
  mRepeatDenied = !aGranted;
  if (aGranted && CanRepeat()) {
    mWaitedForGate = mWaitedForGate || mMayHaveRun;
    Place();
    return;
  }
  GiveUpIfIdle();
}

void Exchange::GiveUpIfIdle()
{
  if (mAttempts.empty() && !mAsksRepeat) {
    mWaitedForGate = true;
    GiveUp();
  }
}

void Exchange::OnRefused(const Attempt& aAttempt, const GateCallResult& aResult)
{
  ++mRefused;
  mExpectedWait = std::max(mExpectedWait, aResult.wait);
  if (aResult.reason == ResultCode::kGateQueueFull) {
    mServices.gates.noteFull(aAttempt.vm, aResult.wait);
  }
  const bool waited = aAttempt.mayWait && mServices.clock.Now() - aAttempt.begin >= kWaitedInQueue;
  if (waited && !aResult.reached) {
    GiveUpIfIdle(); // the others are as full, and the time for a second queue is not there
    return;
  }
  if (aResult.reached) {
    Repeat();
    return;
  }
  const bool mayGoOn = mSent == 0 || (mAttempts.empty() && !mAsksRepeat);
  if (mayGoOn && Left() > Milliseconds(0)) {
    Place();
  } else {
    GiveUpIfIdle();
  }
}

void Exchange::OnAnswered(GateCallResult aResult)
{
  constexpr unsigned kFirstServerError = 500;
  if (aResult.answer.status < kFirstServerError) {
    mIngress.NoteAnswerBytes(mRoute->name, aResult.answer.body.size());
    Deliver(aResult.answer, "answered");
    return;
  }
  mMayHaveRun = true;
  if (!mRoute->idempotent) {
    Deliver(aResult.answer, "upstream-failure");
    return;
  }
  mFailedAnswer = std::move(aResult.answer);
  Repeat();
}

void Exchange::OnLost(const GateCallResult& aResult)
{
  mMayHaveRun = true;
  if (mRoute->idempotent && aResult.outcome == CallOutcome::kFailed) {
    Repeat();
    return;
  }
  if (!mAttempts.empty() || mAsksRepeat) {
    return;
  }
  if (mFailedAnswer) {
    Deliver(*mFailedAnswer, "upstream-failure");
    return;
  }
  Fail(aResult.outcome == CallOutcome::kTimedOut ? 504 : 502, mLastReason, Milliseconds(0));
}

void Exchange::OnHedgeTime()
{
  if (mAttempts.size() != 1 || mSent + 2 > mRoute->maxAttempts) {
    return;
  }
  if (mServices.retries(mService).TryTake()) {
    mSent += 1; // the attempt under way has most likely reached its upstream
    TryPlace(false, false);
    mSent -= 1;
  }
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

void Exchange::OnNodeEnds()
{
  if (mFailedAnswer) {
    Deliver(*mFailedAnswer, "upstream-failure");
    return;
  }
  // A gate may have started what is under way there.
  const bool mayHaveRun = mMayHaveRun || !mAttempts.empty();
  Fail(mayHaveRun ? 502 : 503, "node-stopping", mayHaveRun ? Milliseconds(0) : kRetryAfterDefault);
}

void Exchange::OnGone()
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
  const auto took = mServices.clock.Now() - mBegin;
  ++mIngress.mStatusCounts[aStatus];
  const std::string organisation =
    mOrganisation != nullptr ? mOrganisation->organisation.name : std::string();
  mIngress.mTimes.Add(organisation, mRoute != nullptr ? mRoute->name : "none", took);
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
             { "budget", mRepeatDenied ? "empty" : "ok" },
             { "rate", mRateCounter.empty() ? "part" : mRateCounter },
             { "config", mRouting ? std::to_string(mRouting->Config().version) : "none" } });
}

} // namespace mustardwinch
