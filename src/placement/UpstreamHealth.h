#pragma once

#include "mustardwinch/Clock.h"
#include "placement/UpstreamTrust.h"

#include <cstdint>

namespace mustardwinch {

/**
 * Estimates the probability that one upstream has a gray failure from the outcomes of its requests.
 *
 * Load pattern: up to a third of the upstreams fail 50 to 85% of their requests for some seconds
 * while health checks pass. Most of these failures are broken connections. The other upstreams
 * answer about 1% of their requests with an error. One hard failure, or two error responses close
 * together, make a gray failure likely; several successes in a row are needed to rule it out again.
 * A suspected upstream receives single idempotent requests as trials, since these can be retried on
 * another upstream. Requests that cannot be retried are sent elsewhere.
 */
class UpstreamHealth
{
public:
  /** @param aLatencyRatio response time divided by the latency target of the route; 0: no target */
  void OnSuccess(TimePoint aNow, double aLatencyRatio);

  /** The upstream answered with an error response, as healthy ones do occasionally. */
  void OnError(TimePoint aNow);

  /** The connection broke, the upstream shed the request or its response was invalid, which is very
   * rare for healthy upstreams. */
  void OnHardFailure(TimePoint aNow);

  /** A request has run far longer than usual without a response. */
  void OnStall(TimePoint aNow);

  /** A trial request was sent. */
  void OnTrial(TimePoint aNow);

  /** Discards all evidence, since a new process answers at the address. */
  void Reset();

  UpstreamTrust TrustAt(TimePoint aNow) const;

  /** Probability that the upstream has a gray failure. */
  double GrayProbabilityAt(TimePoint aNow) const;

  /** Smoothed latency ratio; 0 without a recent response, so that a slow period expires. */
  double LatencyRatioAt(TimePoint aNow) const;

private:
  double LogOddsAt(TimePoint aNow) const;
  void AddEvidence(TimePoint aNow, double aEvidence);

  double mLogOdds =
    kInitialLogOdds; //!< natural logarithm of the odds of a gray failure at mLastEvidence
  TimePoint mLastEvidence{};
  TimePoint mNextTrial{};
  double mLatencyRatio = 0;
  TimePoint mLastResponse{};

  static constexpr double kInitialLogOdds =
    -3.0; //!< 5%: most upstreams are healthy when they start
};

} // namespace mustardwinch
