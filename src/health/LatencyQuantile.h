#pragma once

#include "mustardwinch/Clock.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>

namespace mustardwinch {

/**
 * Streaming estimate (P-square) of one quantile of recent durations. Each window of samples has its
 * own estimator; the previous window's result is used until the current one has enough samples, so
 * old samples expire and the estimate follows changes. Not thread safe.
 */
class LatencyQuantile
{
public:
  /** @param aProbability above 0 and below 1, for example 0.5 for the median */
  explicit LatencyQuantile(double aProbability);

  void Add(Duration aSample);

  /** The estimate; nullopt until there are enough samples. */
  std::optional<Duration> Value() const;

private:
  using Window = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  Window MakeWindow() const;

  double mProbability;
  Window mCurrent;
  std::size_t mCount = 0;            //!< samples in the current window
  std::optional<Duration> mPrevious; //!< estimate of the last complete window
};

} // namespace mustardwinch
