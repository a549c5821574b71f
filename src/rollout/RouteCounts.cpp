#include "rollout/RouteCounts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mustardwinch {

std::size_t RouteCounts::BucketOf(double aMilliseconds)
{
  const double bucket = 2 * std::log2(std::max(1.0, aMilliseconds));
  return std::min(static_cast<std::size_t>(bucket), kBuckets - 1);
}

void RouteCounts::AddSuccess(double aMilliseconds)
{
  ++requests;
  ++times[BucketOf(aMilliseconds)];
}

void RouteCounts::AddFailure()
{
  ++requests;
  ++failures;
}

void RouteCounts::Add(const RouteCounts& aOther)
{
  requests += aOther.requests;
  failures += aOther.failures;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    times[i] += aOther.times[i];
  }
}

RouteCounts RouteCounts::Since(const RouteCounts& aEarlier) const
{
  if (aEarlier.requests > requests) {
    return *this; // the counts began anew
  }
  RouteCounts counts;
  counts.requests = requests - aEarlier.requests;
  counts.failures = failures - std::min(failures, aEarlier.failures);
  for (std::size_t i = 0; i < kBuckets; ++i) {
    counts.times[i] = times[i] - std::min(times[i], aEarlier.times[i]);
  }
  return counts;
}

std::uint32_t RouteCounts::Answered() const
{
  return AnsweredFrom(0);
}

std::uint32_t RouteCounts::AnsweredFrom(std::size_t aFirst) const
{
  const auto first = times.begin() + static_cast<std::ptrdiff_t>(std::min(aFirst, kBuckets));
  return std::accumulate(first, times.end(), 0U);
}

std::size_t RouteCounts::MedianBucket() const
{
  const std::uint32_t half = (Answered() + 1) / 2;
  std::uint32_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += times[i];
    if (seen >= half) {
      return i;
    }
  }
  return 0;
}

} // namespace mustardwinch
