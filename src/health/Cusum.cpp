#include "health/Cusum.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mustardwinch {
namespace {

constexpr double kMaxSum = 40; // bounds the time to recover after a long failure

} // namespace

void Cusum::Add(bool aBad, double aBaselineShare, double aAnomalousShare)
{
  assert(0 < aBaselineShare && aBaselineShare < aAnomalousShare && aAnomalousShare < 1);
  const double ratio =
    aBad ? aAnomalousShare / aBaselineShare : (1 - aAnomalousShare) / (1 - aBaselineShare);
  mSum = std::clamp(mSum + std::log(ratio), 0.0, kMaxSum);
}

} // namespace mustardwinch
