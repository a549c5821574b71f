#pragma once

#include <cstddef>

namespace mustardwinch {

/**
 * This node's part of the fleet's budget of repeated requests to a service.
 *
 * Load pattern: a failing service answers every request with an error; without a bound each request
 * is sent maxAttempts times and finishes the service. The part follows the node's own requests, so
 * that the parts of all nodes add up to the share that the fleet may spend.
 */
class NodeRetryBudget
{
public:
  /** @param aRatio repeats for each request @param aCap most repeats that can be saved up */
  NodeRetryBudget(double aRatio, double aCap)
    : mRatio(aRatio)
    , mCap(aCap)
    , mTokens(aCap)
  {
  }

  /**
   * The part of one node.
   *
   * @param aRatio repeats of the whole fleet for each request
   * @param aSlack repeats of the whole fleet on top, in the window of the budget
   */
  static NodeRetryBudget ForNode(double aRatio, double aSlack, std::size_t aNodes);

  void OnRequest();

  /** Takes one repeat if there is one. */
  bool TryTake();

private:
  double mRatio;
  double mCap;
  double mTokens;
};

} // namespace mustardwinch
