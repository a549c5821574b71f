#include "placement/NodeRetryBudget.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** Repeats that a node keeps back even if it has few requests. */
constexpr double kLeastCap = 1;

/** Part of the budget that nodes have of their own; the rest is asked for. A repeated request
 * repeats its own calls, and these count at the service that is called, which may have a third of
 * the requests. */
constexpr double kPlannedShare = 0.15;

} // namespace

NodeRetryBudget NodeRetryBudget::ForNode(double aRatio, double aSlack, std::size_t aNodes)
{
  const double cap = kPlannedShare * aSlack / static_cast<double>(std::max<std::size_t>(1, aNodes));
  return { kPlannedShare * aRatio, std::max(kLeastCap, cap) };
}

void NodeRetryBudget::OnRequest()
{
  mTokens = std::min(mCap, mTokens + mRatio);
}

bool NodeRetryBudget::TryTake()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace mustardwinch
