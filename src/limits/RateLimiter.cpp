#include "limits/RateLimiter.h"

#include "limits/RateShare.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** Maximum time that a request waits for the owners of its organisation's rate. */
constexpr Milliseconds kMaxOwnerWait{ 200 };

/** Interval at which a waiting thread checks the clock. */
constexpr Milliseconds kPollInterval{ 5 };

const Clock& ProcessClock()
{
  static const Clock kClock;
  return kClock;
}

} // namespace

class RateLimiter::Waiter
{
public:
  std::shared_ptr<State> state;
  std::uint64_t firstSequence = 0; //!< first request number that may answer this waiter
  TimePoint deadline;
};

RateLimiter::RateLimiter()
  : mClock(ProcessClock())
{
}

RateLimiter::RateLimiter(const Clock& aClock,
                         const GrantCache::Options& aOptions,
                         SendRequestFn aSendRequest,
                         SettleFn aSettle)
  : mClock(aClock)
  , mOptions(aOptions)
  , mSendRequest(std::move(aSendRequest))
  , mSendSettlement(std::move(aSettle))
{
}

std::shared_ptr<RateLimiter::State> RateLimiter::Find(const Organisation& aOrganisation)
{
  std::shared_ptr<State>& state = mStates[aOrganisation.name];
  if (!state) {
    const std::size_t start =
      std::hash<std::string>{}(aOrganisation.name) ^ mOptions.self.ingress.ip;
    const auto slice = static_cast<unsigned>(start % mOptions.slices);
    state = std::make_shared<State>(GrantCache(mOptions, aOrganisation.name, slice));
  }
  state->cache.SetUsable(std::clamp<unsigned>(aOrganisation.burst, 1, mOptions.slices));
  return state;
}

RateDecision RateLimiter::Admit(const Organisation& aOrganisation, TimePoint aDeadline)
{
  auto begun = Begin(aOrganisation, aDeadline);
  if (const auto* decision = std::get_if<RateDecision>(&begun)) {
    return *decision;
  }
  Waiter& waiter = *std::get<std::shared_ptr<Waiter>>(begun);
  Lock lock(mMutex);
  while (true) {
    if (const auto decision = TryDecide(lock, waiter)) {
      return *decision;
    }
    waiter.state->changed.wait_for(lock, kPollInterval);
  }
}

std::variant<RateDecision, std::shared_ptr<RateLimiter::Waiter>> RateLimiter::Begin(
  const Organisation& aOrganisation,
  TimePoint aDeadline)
{
  Lock lock(mMutex);
  if (!mSendRequest) {
    return Count(ResultCode::kOk);
  }
  const std::shared_ptr<State> state = Find(aOrganisation);
  const TimePoint now = mClock.Now();
  state->cache.RecordDemand(now);
  if (state->cache.Spend(now)) {
    ++state->activeRequests;
    SendPending(lock, state);
    --state->activeRequests;
    return Count(ResultCode::kOk);
  }
  ++mCounters.waited;
  ++state->activeRequests;
  ++state->waiting;
  auto waiter = std::make_shared<Waiter>();
  waiter->state = state;
  waiter->firstSequence = mSequence + 1;
  waiter->deadline = std::min(aDeadline, now + kMaxOwnerWait);
  if (const auto decision = TryDecide(lock, *waiter)) {
    return *decision;
  }
  return waiter;
}

std::optional<RateDecision> RateLimiter::Poll(Waiter& aWaiter)
{
  Lock lock(mMutex);
  return TryDecide(lock, aWaiter);
}

/** Sends pending messages and decides if the replies so far allow it. */
std::optional<RateDecision> RateLimiter::TryDecide(Lock& aLock, Waiter& aWaiter)
{
  const std::shared_ptr<State> state = aWaiter.state;
  std::optional<ResultCode> code = DecisionCode(aWaiter);
  while (!code && SendPending(aLock, state)) {
    code = DecisionCode(aWaiter);
  }
  if (!code) {
    return std::nullopt;
  }
  --state->waiting;
  SendPending(aLock, state);
  --state->activeRequests;
  return Count(*code);
}

/** The decision on a waiter, if there is one now. */
std::optional<ResultCode> RateLimiter::DecisionCode(Waiter& aWaiter)
{
  GrantCache& cache = aWaiter.state->cache;
  const TimePoint now = mClock.Now();
  if (cache.Spend(now)) {
    return ResultCode::kOk;
  }
  const GrantCache::Verdict verdict = cache.VerdictFor(aWaiter.firstSequence, now);
  if (verdict == GrantCache::Verdict::kExceeded) {
    return ResultCode::kRateExceeded;
  }
  const bool late = now >= aWaiter.deadline;
  if (verdict == GrantCache::Verdict::kUnconfirmed || late) {
    return ResultCode::kRateUnconfirmed;
  }
  return std::nullopt;
}

RateDecision RateLimiter::Count(ResultCode aCode)
{
  if (aCode == ResultCode::kOk) {
    ++mCounters.admitted;
  } else if (aCode == ResultCode::kRateExceeded) {
    ++mCounters.exceeded;
  } else {
    ++mCounters.unconfirmed;
  }
  return { aCode };
}

/** Sends pending messages with the lock released; true if there were any. */
bool RateLimiter::SendPending(Lock& aLock, const std::shared_ptr<State>& aState)
{
  const TimePoint now = mClock.Now();
  const auto request = aState->cache.NextRequest(aState->waiting, mSequence + 1, now);
  mSequence += request ? 1 : 0;
  const auto settlement = aState->cache.TakeSettlement(now);
  mCounters.requests += request ? 1 : 0;
  mCounters.settlements += settlement ? 1 : 0;
  if (!request && !settlement) {
    return false;
  }
  aLock.unlock();
  if (settlement) {
    mSendSettlement(*settlement);
  }
  if (request) {
    const std::uint64_t sequence = request->key.sequence;
    mSendRequest(*request, [this, aState, sequence](const Result<GrantReply>& aReply) {
      OnAnswer(aState, sequence, aReply);
    });
  }
  aLock.lock();
  return true;
}

void RateLimiter::OnAnswer(const std::shared_ptr<State>& aState,
                           std::uint64_t aSequence,
                           const Result<GrantReply>& aReply)
{
  const std::lock_guard lock(mMutex);
  const TimePoint now = mClock.Now();
  if (aReply) {
    aState->cache.OnReply(aSequence, aReply.Value(), now);
  } else {
    aState->cache.OnFailure(aSequence, now);
  }
  aState->changed.notify_all();
}

void RateLimiter::RunMaintenance()
{
  Lock lock(mMutex);
  const TimePoint now = mClock.Now();
  std::vector<GrantSettlement> settlements;
  for (auto& [name, state] : mStates) {
    while (auto it = state->cache.TakeSettlement(now)) {
      settlements.push_back(std::move(*it));
    }
  }
  std::erase_if(mStates, [&](const auto& aPair) {
    return aPair.second->activeRequests == 0 && aPair.second->cache.IsIdle(now);
  });
  mCounters.settlements += settlements.size();
  lock.unlock();
  for (const GrantSettlement& it : settlements) {
    mSendSettlement(it);
  }
}

RateCounters RateLimiter::Counters() const
{
  const std::lock_guard lock(mMutex);
  return mCounters;
}

} // namespace mustardwinch
