#pragma once

#include "mustardwinch/Clock.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace mustardwinch {

/**
 * Duration histograms by organisation and class, for /metrics. The number of series is bounded:
 * beyond it, new pairs are counted under the organisation "other" of their class. Thread safe.
 */
class LatencyHistograms
{
public:
  /** @param aMetric name of the metric, for example "mw_gate_queue_seconds" */
  explicit LatencyHistograms(std::string aMetric);

  /** @param aClass second label, for example a service or a result */
  void Add(const std::string& aOrganisation, const std::string& aClass, Duration aValue);

  /** Prometheus text format: cumulative buckets, sum and count for each organisation and class. */
  std::string Text() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  struct Series
  {
    Histogram histogram;
    double sum = 0; //!< seconds
    std::uint64_t count = 0;
  };

  static Histogram MakeHistogram();

  const std::string mMetric;
  mutable std::mutex mMutex;
  std::map<std::pair<std::string, std::string>, Series> mSeries;
};

} // namespace mustardwinch
