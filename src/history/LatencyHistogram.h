#pragma once

#include <boost/histogram.hpp>

#include <cstddef>

namespace mustardwinch {

/** Latencies in milliseconds with about 3 % resolution from 0.1 ms to 10 minutes. */
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Add(double aMilliseconds);

  /** The latency that a share of all latencies does not exceed; 0 if there are none. */
  double Quantile(double aShare) const;

  std::size_t Count() const { return mCount; }

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0)));

  Histogram mHistogram;
  std::size_t mCount = 0;
};

} // namespace mustardwinch
