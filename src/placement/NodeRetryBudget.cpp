#include "placement/NodeRetryBudget.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** Minimum capacity, so that a node with few requests can still retry one of them. */
constexpr double kMinCap = 1;

/** Fraction of the fleet's budget that is divided among the nodes; retries beyond it are requested
 * from the shared pool. A retried request also makes its calls to other services again.
 * These count against the budget of the called service, which may have only a third of the
 * requests. */
constexpr double kLocalShare = 0.15;

} // namespace

NodeRetryBudget NodeRetryBudget::ForNode(double aRatio, double aSlack, std::size_t aNodes)
{
  const double cap = kLocalShare * aSlack / static_cast<double>(std::max<std::size_t>(1, aNodes));
  return { kLocalShare * aRatio, std::max(kMinCap, cap) };
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
