#pragma once

#include "mustardwinch/Clock.h"
#include "placement/UpstreamTrust.h"

#include <cstdint>

namespace mustardwinch {

/**
 * The odds that one upstream is failing gray, from the outcomes of its requests.
 *
 * Load pattern: up to a third of the upstreams fail 50 to 85% of their requests for some seconds
 * while health checks pass, most of them by broken connections, the others answer about 1% with an
 * error. One break, or two errors close together, make a gray failure likely; several successes in
 * a row are needed to rule it out again. An upstream that is in doubt takes single idempotent
 * requests on trial, since these can be repeated elsewhere; what cannot be repeated keeps away.
 */
class UpstreamHealth
{
public:
  /** @param aLatencyRatio time of the answer divided by the latency target of its route; 0: none */
  void OnSuccess(TimePoint aNow, double aLatencyRatio);

  /** The upstream answered with an error of its own, as sound ones do now and then. */
  void OnError(TimePoint aNow);

  /** The upstream broke off, shed or spoiled a request, as sound ones hardly ever do. */
  void OnHardFailure(TimePoint aNow);

  /** A request has taken far longer than usual and has no answer yet. */
  void OnStall(TimePoint aNow);

  /** A request was sent on trial. */
  void OnTrial(TimePoint aNow);

  /** Another process answers at the address: nothing is known of it. */
  void Reset();

  UpstreamTrust TrustAt(TimePoint aNow) const;

  /** Probability that the upstream fails gray. */
  double GrayProbabilityAt(TimePoint aNow) const;

  /** Smoothed latency ratio; 0 if no answer came lately, so that a slow time is forgotten. */
  double LatencyRatioAt(TimePoint aNow) const;

private:
  double OddsAt(TimePoint aNow) const;
  void Add(TimePoint aNow, double aEvidence);

  double mOdds = kStartOdds; //!< natural logarithm, as of mLast
  TimePoint mLast{};
  TimePoint mNextTrial{};
  double mLatencyRatio = 0;
  TimePoint mLastAnswer{};

  static constexpr double kStartOdds = -3.0; //!< 5%: most upstreams are well when they start
};

} // namespace mustardwinch
