#pragma once

#include "health/AttemptResult.h"
#include "health/Cusum.h"
#include "health/LatencyQuantile.h"
#include "health/PeerSummary.h"
#include "health/UpstreamVerdict.h"

namespace mustardwinch {

/**
 * Outlier detector for one upstream at its gate: compares the results of all requests with the
 * baseline of the service's other upstreams. Health and load reported by the upstream itself are
 * not used. Not thread safe.
 */
class UpstreamDetector
{
public:
  UpstreamDetector();

  void OnResult(const AttemptResult& aResult, const PeerSummary& aPeers, TimePoint aNow);

  UpstreamVerdict Verdict() const;

  /** Whether a response is complete and not slow; evaluates trials of an ejected upstream. */
  static bool IsGood(const AttemptResult& aResult, const PeerSummary& aPeers);

  /**
   * True after requests on pooled connections got no response: the pool should be dropped before
   * the failures count against the upstream.
   */
  bool ShouldDropPool() const { return mPooledFailures > 0; }

  /** Median time to the first byte; zero until there are enough responses. */
  Duration MedianLatency() const { return mMedian.Value().value_or(Duration::zero()); }

  /** Moving average of the share of failed requests, 0 to 1. */
  double FailureShare() const { return mFailureShare; }

  /** Discards the evidence of failures and slowness; keeps the median latency. */
  void Reset();

private:
  Cusum mFailureCusum;
  Cusum mSlowCusum;
  LatencyQuantile mMedian;
  double mFailureShare = 0;
  int mPooledFailures = 0; //!< consecutive requests without a response on pooled connections
  TimePoint mLastResult{};
};

} // namespace mustardwinch
