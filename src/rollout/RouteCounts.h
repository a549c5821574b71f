#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace mustardwinch {

/** Outcomes of the requests of one route at one upstream. */
struct RouteCounts
{
  /** Buckets of the answer times, each 1.4 times as long as the one before; the last one is open.
   */
  static constexpr std::size_t kBuckets = 26;

  std::uint32_t requests = 0;
  std::uint32_t failures = 0;
  std::array<std::uint32_t, kBuckets> times{}; //!< of successful answers

  static std::size_t BucketOf(double aMilliseconds);

  void AddSuccess(double aMilliseconds);
  void AddFailure();
  void Add(const RouteCounts& aOther);

  /** What was counted since an earlier state of the same counts. */
  RouteCounts Since(const RouteCounts& aEarlier) const;

  std::uint32_t Answered() const;

  /** Number of answers in the buckets from aFirst on. */
  std::uint32_t AnsweredFrom(std::size_t aFirst) const;

  /** Bucket of the median answer time. */
  std::size_t MedianBucket() const;

  bool operator==(const RouteCounts&) const = default;
};

/** Outcomes at one upstream by route. */
using RouteEvidence = std::map<std::string, RouteCounts>;

} // namespace mustardwinch
