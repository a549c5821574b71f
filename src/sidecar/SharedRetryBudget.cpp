#include "sidecar/SharedRetryBudget.h"

#include <cmath>

namespace mustardwinch {
namespace {

// Fractions of the slack.
constexpr double kRateShare = 0.45;
constexpr double kBurstShare = 0.35;
constexpr double kOverrunShare = 0.2; //!< for changes of the owner

} // namespace

Organisation MakeSharedRetryBudget(const std::string& aService, const RetrySettings& aSettings)
{
  Organisation budget;
  budget.name = aService;
  budget.ratePerSecond =
    kRateShare * aSettings.slack / std::chrono::duration<double>(aSettings.window).count();
  budget.burst = static_cast<std::uint32_t>(std::floor(kBurstShare * aSettings.slack));
  return budget;
}

RateSettings MakeRetryTolerance(const RetrySettings& aSettings)
{
  RateSettings tolerance;
  tolerance.overrun = kOverrunShare / (kRateShare + kBurstShare);
  tolerance.window = aSettings.window;
  return tolerance;
}

} // namespace mustardwinch
