#include "health/RetryBudget.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr double kTokensPerRequest = 0.1;
constexpr double kTokensPerSecond = 1.0; // lets services with little traffic retry
constexpr double kMaxTokens = 20.0;
constexpr double kInitialTokens = 5.0;
constexpr double kCostAfterNotRun = 0.2;
constexpr double kCostAfterUnknown = 1.0;

} // namespace

RetryBudget::RetryBudget(TimePoint aNow)
  : mTokens(kInitialTokens)
  , mLastRefill(aNow)
{
}

void RetryBudget::Refill(TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mLastRefill;
  mTokens = std::min(kMaxTokens, mTokens + std::max(0.0, elapsed.count()) * kTokensPerSecond);
  mLastRefill = std::max(mLastRefill, aNow);
}

void RetryBudget::Deposit(TimePoint aNow)
{
  Refill(aNow);
  mTokens = std::min(kMaxTokens, mTokens + kTokensPerRequest);
}

bool RetryBudget::TryWithdraw(Outcome aOutcome, TimePoint aNow)
{
  Refill(aNow);
  const double cost = aOutcome == Outcome::kNotRun ? kCostAfterNotRun : kCostAfterUnknown;
  if (mTokens < cost) {
    return false;
  }
  mTokens -= cost;
  return true;
}

} // namespace mustardwinch
