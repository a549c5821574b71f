#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/Outcome.h"

namespace mustardwinch {

/**
 * Token budget for retries and hedges of one service at one ingress. Requests add tokens and extra
 * attempts consume them, so that retries cannot multiply the load on a failing service. Not thread
 * safe.
 */
class RetryBudget
{
public:
  explicit RetryBudget(TimePoint aNow);

  /** Adds the tokens earned by a new request. */
  void Deposit(TimePoint aNow);

  /**
   * Withdraws the cost of an attempt that follows aOutcome; false if there are too few tokens. A
   * request that certainly did not run has put no load on an upstream, so its retry costs less.
   */
  bool TryWithdraw(Outcome aOutcome, TimePoint aNow);

  double Tokens() const { return mTokens; }

private:
  void Refill(TimePoint aNow);

  double mTokens;
  TimePoint mLastRefill;
};

} // namespace mustardwinch
