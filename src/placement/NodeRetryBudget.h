#pragma once

#include <cstddef>

namespace mustardwinch {

/**
 * One node's share of the fleet's retry budget for a service, as a token bucket.
 *
 * Load pattern: a failing service answers every request with an error. Without a limit each request
 * would be sent maxAttempts times, and the retries would overload the service completely. The share
 * is proportional to the node's own requests, so that the shares of all nodes add up to the part of
 * the fleet's budget that is given to the nodes.
 */
class NodeRetryBudget
{
public:
  /** @param aRatio retries per request @param aCap maximum number of unused retries kept */
  NodeRetryBudget(double aRatio, double aCap)
    : mRatio(aRatio)
    , mCap(aCap)
    , mTokens(aCap)
  {
  }

  /**
   * Returns the budget of one of aNodes nodes.
   *
   * @param aRatio retries of the whole fleet per request
   * @param aSlack additional retries of the whole fleet within the window of the budget
   */
  static NodeRetryBudget ForNode(double aRatio, double aSlack, std::size_t aNodes);

  void OnRequest();

  /** Takes one retry from the budget. False if less than one is left. */
  bool TryTake();

private:
  double mRatio;
  double mCap;
  double mTokens;
};

} // namespace mustardwinch
