#include "sidecar/Exchange.h"

#include "mustardwinch/Event.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** An idempotent request is not repeated with less time left than this. */
constexpr Milliseconds kLeastTimeToRepeat{ 120 };

/** A refusal that took longer came from a queue. */
constexpr Milliseconds kWaitedInQueue{ 100 };

} // namespace

// Attempts: where the request is sent, and what follows from each result.

bool Exchange::TryPlace(bool aMayWait, bool aLastResort)
{
  while (true) {
    const std::vector<const GateView*> views = mServices.gates.views();
    mPlacement.lastResort = aLastResort;
    // What fails and is not repeated then is no trial for doubtful upstreams.
    mPlacement.idempotent = mRoute->idempotent && mSent + 1 < mRoute->maxAttempts;
    mPlacement.fewTrusted = PlacementPolicy::FewTrusted(views, mService);
    const int chosen = mIngress.mPlacement.Choose(views, mPlacement, mServices.clock.Now());
    if (chosen < 0) {
      return false;
    }
    // A trial is for the gate to allow; it bounds them.
    const UpstreamTrust trust = views[static_cast<std::size_t>(chosen)]->trust;
    const bool trial = mPlacement.idempotent && trust == UpstreamTrust::kTrialDue;
    const bool inDoubt = aLastResort || (mPlacement.fewTrusted && !trial);
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
    mServices.gates.noteFull(aAttempt.vm, aResult.wait);
  }
  if (aResult.reached) {
    Repeat();
    return;
  }
  // After one queue the others are as full, and there is no time for a second one.
  const bool waited = aAttempt.mayWait && mServices.clock.Now() - aAttempt.begin >= kWaitedInQueue;
  const bool mayGoOn = !waited && (mSent == 0 || IsIdle());
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
  if (!IsIdle()) {
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

} // namespace mustardwinch
