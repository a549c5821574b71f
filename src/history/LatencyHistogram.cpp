#include "history/LatencyHistogram.h"

namespace mustardwinch {

namespace {

constexpr unsigned kBins = 512;
constexpr double kLeastMs = 0.1;
constexpr double kMostMs = 600'000;

} // namespace

LatencyHistogram::LatencyHistogram()
  : mHistogram(boost::histogram::make_histogram(Axis(kBins, kLeastMs, kMostMs)))
{
}

void LatencyHistogram::Add(double aMilliseconds)
{
  mHistogram(aMilliseconds);
  ++mCount;
}

double LatencyHistogram::Quantile(double aShare) const
{
  const double wanted = aShare * static_cast<double>(mCount);
  double seen = 0;
  for (auto&& it : boost::histogram::indexed(mHistogram, boost::histogram::coverage::all)) {
    seen += *it;
    if (*it > 0 && seen >= wanted) {
      return it.bin().upper() < kMostMs ? it.bin().upper() : kMostMs;
    }
  }
  return 0;
}

} // namespace mustardwinch
