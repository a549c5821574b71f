#include "health/RetryPolicy.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr int kMaxAttempts = 4;
constexpr double kHedgeQuantile = 0.95;
constexpr std::size_t kMaxHedgedBodyBytes = 16 * 1024;
constexpr Milliseconds kMinHedgeDelay{ 5 };
constexpr Milliseconds kMinAttemptTime{ 5 };

bool OutcomeAllowsRetry(Outcome aOutcome, bool aIdempotent)
{
  switch (aOutcome) {
    case Outcome::kNotRun:
      return true;
    case Outcome::kUnknown:
      return aIdempotent;
    case Outcome::kRan:
    case Outcome::kNone:
      break;
  }
  return false;
}

} // namespace

RetryPolicy::RetryPolicy(Clock& aClock)
  : mClock(aClock)
{
}

RetryPolicy::ServiceState& RetryPolicy::StateOf(const std::string& aService)
{
  const auto it = mServices.find(aService);
  if (it != mServices.end()) {
    return it->second;
  }
  ServiceState state{ RetryBudget(mClock.Now()), LatencyQuantile(kHedgeQuantile) };
  return mServices.emplace(aService, std::move(state)).first->second;
}

void RetryPolicy::OnRequest(const std::string& aService)
{
  std::lock_guard lock(mMutex);
  StateOf(aService).budget.Deposit(mClock.Now());
}

void RetryPolicy::OnAnswer(const std::string& aService, Duration aLatency)
{
  std::lock_guard lock(mMutex);
  StateOf(aService).hedgeLatency.Add(aLatency);
}

bool RetryPolicy::MayRetry(const std::string& aService,
                           Outcome aOutcome,
                           bool aIdempotent,
                           TimePoint aDeadline,
                           int aAttempts)
{
  if (!OutcomeAllowsRetry(aOutcome, aIdempotent) || aAttempts >= kMaxAttempts) {
    return false;
  }
  const TimePoint now = mClock.Now();
  if (now + kMinAttemptTime >= aDeadline) {
    return false;
  }
  std::lock_guard lock(mMutex);
  return StateOf(aService).budget.TryWithdraw(aOutcome, now);
}

std::optional<Duration> RetryPolicy::HedgeDelay(const std::string& aService,
                                                bool aIdempotent,
                                                std::size_t aBodyBytes) const
{
  if (!aIdempotent || aBodyBytes > kMaxHedgedBodyBytes) {
    return std::nullopt;
  }
  std::lock_guard lock(mMutex);
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return std::nullopt;
  }
  const std::optional<Duration> delay = it->second.hedgeLatency.Value();
  if (!delay) {
    return std::nullopt;
  }
  return std::max<Duration>(*delay, kMinHedgeDelay);
}

bool RetryPolicy::MayHedge(const std::string& aService, TimePoint aDeadline)
{
  const TimePoint now = mClock.Now();
  if (now + kMinAttemptTime >= aDeadline) {
    return false;
  }
  std::lock_guard lock(mMutex);
  return StateOf(aService).budget.TryWithdraw(Outcome::kUnknown, now);
}

} // namespace mustardwinch
