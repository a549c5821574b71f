#include "sidecar/Exchange.h"

#include "mustardwinch/Event.h"
#include "sidecar/RequestPriority.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** An idempotent request is not retried with less remaining time than this. */
constexpr Milliseconds kMinTimeForRetry{ 120 };

/** A refusal that took at least this long came from a queue. */
constexpr Milliseconds kMinQueuedRefusalTime{ 100 };

} // namespace

// Selection of gates for the attempts, and handling of their results.

bool Exchange::TryPlace(bool aMayWait, bool aLastResort)
{
  while (true) {
    const std::vector<const GateView*> views = mServices.gates.views();
    mPlacement.lastResort = aLastResort;
    // A request that would not be retried after a failure is not used as a trial of a suspected
    // upstream.
    mPlacement.idempotent = mRoute->idempotent && mSent + 1 < mRoute->maxAttempts;
    mPlacement.fewTrusted = PlacementPolicy::FewTrusted(views, mService);
    mPlacement.versions = mServices.versionRule(mService, mForNewVersion);
    const int chosen = mIngress.mPlacement.Choose(views, mPlacement, mServices.clock.Now());
    if (chosen < 0 && mForNewVersion) {
      mForNewVersion = false; // its upstreams cannot take it
      continue;
    }
    if (chosen < 0) {
      return false;
    }
    // Whether a trial may run is decided by the gate, which limits the number of trials.
    const UpstreamTrust trust = views[static_cast<std::size_t>(chosen)]->trust;
    const bool trial = mPlacement.idempotent && trust == UpstreamTrust::kTrialDue;
    const bool mayUseSuspected = aLastResort || (mPlacement.fewTrusted && !trial);
    const std::string vm = views[static_cast<std::size_t>(chosen)]->vm;
    mPlacement.excluded.insert(vm);
    mServices.gates.onChosen(vm);
    const std::uint64_t id = mNextAttempt++;
    mAttempts.emplace(id, Attempt{ vm, mServices.clock.Now(), aMayWait, {} });
    GateDirectory::CancelFn cancel =
      mServices.gates.submit(vm,
                             MakeCall(aMayWait, mayUseSuspected),
                             [self = shared_from_this(), id](GateCallResult aResult) {
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
  call.remaining = std::max(RemainingTime(), Milliseconds(1));
  call.latencyTarget = mRoute->latencyTarget;
  call.priority = PriorityOf(*mRoute, mOrganisation, IsInnerCall());
  call.organisation = mOrganisation != nullptr ? mOrganisation->organisation.name : std::string();
  call.idempotent = mRoute->idempotent;
  call.mayWait = aMayWait;
  call.lastResort = aLastResort;
  call.route = mRoute->name;
  call.version = mPlacement.versions.required;
  call.isRetry = mSent > 0 || mAttempts.size() > 1; // mAttempts contains this attempt
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
  mForNewVersion = false; // a further attempt goes to the version in use
  const bool isRetry = aResult.reached && mSent > 1;
  if (isRetry && mOrganisation != nullptr) {
    mServices.onRetry(mOrganisation->organisation.name);
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
      OnAttemptFailed(aResult);
      break;
  }
}

bool Exchange::CanRetry() const
{
  return !mRetryPending && mSent + mAttempts.size() < mRoute->maxAttempts &&
         RemainingTime() > kMinTimeForRetry;
}

void Exchange::Retry()
{
  if (!CanRetry()) {
    GiveUpIfIdle();
    return;
  }
  if (mServices.retries(mService).TryTake()) {
    OnRetryDecision(true);
    return;
  }
  mRetryPending = true;
  mServices.acquireRetry(mService, [self = shared_from_this()](bool aGranted) {
    if (!self->mEnded) {
      self->OnRetryDecision(aGranted);
    }
  });
}

void Exchange::OnRetryDecision(bool aGranted)
{
  mRetryPending = false;
  mRetryDenied = !aGranted;
  if (aGranted && CanRetry()) {
    mWaitedForGate = mWaitedForGate || mMayHaveRun;
    Place();
    return;
  }
  GiveUpIfIdle();
}

void Exchange::GiveUpIfIdle()
{
  if (IsIdle()) {
    mWaitedForGate = true;
    GiveUp();
  }
}

void Exchange::OnRefused(const Attempt& aAttempt, const GateCallResult& aResult)
{
  ++mRefused;
  mExpectedWait = std::max(mExpectedWait, aResult.wait);
  if (aResult.reason == ResultCode::kGateQueueFull) {
    mServices.gates.onQueueFull(aAttempt.vm, aResult.wait);
  }
  if (aResult.reached) {
    Retry();
    return;
  }
  // If the request waited in one queue, the other queues are as full and no time remains to wait in
  // a second one.
  const bool waited =
    aAttempt.mayWait && mServices.clock.Now() - aAttempt.begin >= kMinQueuedRefusalTime;
  const bool mayGoOn = !waited && (mSent == 0 || IsIdle());
  if (mayGoOn && RemainingTime() > Milliseconds(0)) {
    Place();
  } else {
    GiveUpIfIdle();
  }
}

void Exchange::OnAnswered(GateCallResult aResult)
{
  constexpr unsigned kFirstServerError = 500;
  if (aResult.answer.status < kFirstServerError) {
    mIngress.RecordAnswerBytes(mRoute->name, aResult.answer.body.size());
    Deliver(aResult.answer, "answered");
    return;
  }
  mMayHaveRun = true;
  if (!mRoute->idempotent) {
    Deliver(aResult.answer, "upstream-failure");
    return;
  }
  mFailedAnswer = std::move(aResult.answer);
  Retry();
}

void Exchange::OnAttemptFailed(const GateCallResult& aResult)
{
  mMayHaveRun = true;
  if (mRoute->idempotent && aResult.outcome == CallOutcome::kFailed) {
    Retry();
    return;
  }
  if (!IsIdle()) {
    return;
  }
  if (mFailedAnswer) {
    Deliver(*mFailedAnswer, "upstream-failure");
    return;
  }
  Fail(aResult.outcome == CallOutcome::kTimedOut ? 504 : 502, mLastReason, Milliseconds(0));
}

void Exchange::OnHedgeTimer()
{
  if (mAttempts.size() != 1 || mSent + 2 > mRoute->maxAttempts) {
    return;
  }
  if (mServices.retries(mService).TryTake()) {
    mForNewVersion = false;
    mSent += 1; // the pending attempt has most likely reached its upstream
    TryPlace(false, false);
    mSent -= 1;
  }
}

} // namespace mustardwinch
