#include "sidecar/RetryPool.h"

#include <cmath>

namespace mustardwinch {
namespace {

// Parts of the slack. Together they leave a fifth for owners that change.
constexpr double kRateShare = 0.45;
constexpr double kBurstShare = 0.35;

} // namespace

Organisation RetryPoolOf(const std::string& aService, const RetrySettings& aSettings)
{
  Organisation pool;
  pool.name = aService;
  pool.ratePerSecond =
    kRateShare * aSettings.slack / std::chrono::duration<double>(aSettings.window).count();
  pool.burst = static_cast<std::uint32_t>(std::floor(kBurstShare * aSettings.slack));
  return pool;
}

} // namespace mustardwinch
