#pragma once

#include "health/AttemptResult.h"
#include "health/Cusum.h"
#include "health/LatencyQuantile.h"
#include "health/PeerSummary.h"
#include "health/UpstreamVerdict.h"

namespace mustardwinch {

/**
 * Judges one upstream at its gate from the outcome of every request, against the peers of its
 * service. Health and load that an upstream reports play no part. Not thread safe.
 */
class UpstreamDetector
{
public:
  UpstreamDetector();

  void OnResult(const AttemptResult& aResult, const PeerSummary& aPeers, TimePoint aNow);

  UpstreamVerdict Verdict() const;

  /** Whether one answer is whole and not slow; used to judge trials of an ejected upstream. */
  static bool IsGood(const AttemptResult& aResult, const PeerSummary& aPeers);

  /** True after requests got no answer on pooled connections: drop the pool, spare the upstream. */
  bool ShouldDropPool() const { return mSilentPooled > 0; }

  /** Median time to the first byte; zero before there are enough answers. */
  Duration MedianLatency() const { return mMedian.Value().value_or(Duration::zero()); }

  /** Recent share of failed requests, 0 to 1. */
  double FailureShare() const { return mFailureShare; }

  /** Forgets the evidence; what is usual stays known. */
  void Reset();

private:
  Cusum mFailing;
  Cusum mSlow;
  LatencyQuantile mMedian;
  double mFailureShare = 0;
  int mSilentPooled = 0;
  TimePoint mLast{};
};

} // namespace mustardwinch
