#include "sidecar/SharedRetryBudget.h"

#include <cmath>

namespace mustardwinch {
namespace {

// Fractions of the slack. Together they leave a fifth for changes of the owner.
constexpr double kRateShare = 0.45;
constexpr double kBurstShare = 0.35;

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

} // namespace mustardwinch
