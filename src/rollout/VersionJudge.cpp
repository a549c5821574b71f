#include "rollout/VersionJudge.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace mustardwinch {
namespace {

/** Part of its requests that a sound upstream fails at most. */
constexpr double kUsualFailures = 0.015;

/** A bad version fails at least this part of its requests beyond the usual. */
constexpr double kExcessFailures = 0.15;

/** Slow answers take 2.8 times the median: three buckets above it. */
constexpr std::size_t kSlowBuckets = 3;

/** Shorter medians count as this: links and scheduling vary by as much. */
constexpr double kShortestMedianMs = 8;
constexpr double kUsualSlow = 0.03;
constexpr double kExcessSlow = 0.35;

// Logarithms of the odds at which an upstream, or all of them together, count as bad or good: 20 to
// 1, which takes two or three failures, or some 20 good answers in a row.
constexpr double kBadEvidence = 3;
constexpr double kGoodEvidence = -3;

/** Upstreams of the new version that must be judged, so that a gray one does not decide. */
constexpr std::size_t kMinJudged = 3;

/** Part of the judged upstreams that make a version bad. */
constexpr double kBadShare = 0.6;

/** Requests of the old version without which a route is not compared. */
constexpr std::uint32_t kMinOldRequests = 20;

/** Routes with a smaller part of the requests may stay undecided: they would take too long. */
constexpr double kMinRouteShare = 0.1;

/** An upstream of the old version that fails more than this part is gray. */
constexpr double kGrayFailures = 0.3;
constexpr std::uint32_t kGrayMinFailures = 3;

/** What is usual on a route. */
struct Baseline
{
  double failures = kUsualFailures;
  double slow = kUsualSlow;
  std::size_t slowBucket = RouteCounts::kBuckets;
  std::uint32_t requests = 0;
};

bool IsGray(const RouteCounts& aCounts)
{
  return aCounts.failures >= kGrayMinFailures &&
         aCounts.failures > kGrayFailures * static_cast<double>(aCounts.requests);
}

Baseline MakeBaseline(const std::vector<InstanceEvidence>& aInstances, const std::string& aRoute)
{
  RouteCounts sum;
  for (const InstanceEvidence& it : aInstances) {
    const auto counts = it.routes.find(aRoute);
    if (!it.isTarget && counts != it.routes.end() && !IsGray(counts->second)) {
      sum.Add(counts->second);
    }
  }
  Baseline baseline;
  baseline.requests = sum.requests;
  if (sum.requests < kMinOldRequests) {
    return baseline;
  }
  baseline.failures = std::max(kUsualFailures, static_cast<double>(sum.failures) / sum.requests);
  if (const std::uint32_t answered = sum.Answered(); answered >= kMinOldRequests) {
    const std::size_t shortest = RouteCounts::BucketOf(kShortestMedianMs);
    baseline.slowBucket = std::max(sum.MedianBucket(), shortest) + kSlowBuckets;
    const double slow = sum.AnsweredFrom(baseline.slowBucket);
    baseline.slow = std::max(kUsualSlow, slow / answered);
  }
  return baseline;
}

/** Log-likelihood ratio of aHits among aTotal for a part of aUsual + aExcess against aUsual. */
double LogOdds(double aHits, double aTotal, double aUsual, double aExcess)
{
  constexpr double kMost = 0.97;
  const double usual = std::min(aUsual, kMost - 0.02);
  const double bad = std::min(usual + aExcess, kMost);
  return aHits * std::log(bad / usual) + (aTotal - aHits) * std::log((1 - bad) / (1 - usual));
}

double FailureOdds(const RouteCounts& aCounts, const Baseline& aBaseline)
{
  return LogOdds(aCounts.failures, aCounts.requests, aBaseline.failures, kExcessFailures);
}

double SlowOdds(const RouteCounts& aCounts, const Baseline& aBaseline)
{
  if (aBaseline.slowBucket >= RouteCounts::kBuckets) {
    return kGoodEvidence; // no times to compare with
  }
  return LogOdds(
    aCounts.AnsweredFrom(aBaseline.slowBucket), aCounts.Answered(), aBaseline.slow, kExcessSlow);
}

VersionVerdict VerdictOf(const RouteCounts& aCounts, const Baseline& aBaseline)
{
  const double failure = FailureOdds(aCounts, aBaseline);
  const double slow = SlowOdds(aCounts, aBaseline);
  if (std::max(failure, slow) >= kBadEvidence) {
    return VersionVerdict::kBad;
  }
  const bool good = failure <= kGoodEvidence && slow <= kGoodEvidence;
  return good ? VersionVerdict::kGood : VersionVerdict::kUndecided;
}

VersionVerdict JudgeRoute(const std::vector<InstanceEvidence>& aInstances,
                          const std::string& aRoute,
                          std::size_t aMinJudged)
{
  const Baseline baseline = MakeBaseline(aInstances, aRoute);
  std::size_t bad = 0;
  std::size_t judged = 0;
  RouteCounts others; // of upstreams that are not bad
  for (const InstanceEvidence& it : aInstances) {
    const auto counts = it.routes.find(aRoute);
    if (!it.isTarget || counts == it.routes.end()) {
      continue;
    }
    const VersionVerdict verdict = VerdictOf(counts->second, baseline);
    judged += verdict != VersionVerdict::kUndecided ? 1 : 0;
    bad += verdict == VersionVerdict::kBad ? 1 : 0;
    if (verdict != VersionVerdict::kBad) {
      others.Add(counts->second);
    }
  }
  if (judged >= aMinJudged && static_cast<double>(bad) >= kBadShare * static_cast<double>(judged)) {
    return VersionVerdict::kBad;
  }
  const bool comparable = baseline.requests >= kMinOldRequests;
  return comparable && VerdictOf(others, baseline) == VersionVerdict::kGood
           ? VersionVerdict::kGood
           : VersionVerdict::kUndecided;
}

/** Requests by route, of both versions. */
std::map<std::string, std::uint32_t> RequestsByRoute(
  const std::vector<InstanceEvidence>& aInstances)
{
  std::map<std::string, std::uint32_t> requests;
  for (const InstanceEvidence& it : aInstances) {
    for (const auto& [route, counts] : it.routes) {
      requests[route] += counts.requests;
    }
  }
  return requests;
}

} // namespace

VersionVerdict JudgeVersion(const std::vector<InstanceEvidence>& aInstances)
{
  const auto targets = static_cast<std::size_t>(
    std::count_if(aInstances.begin(), aInstances.end(), [](const InstanceEvidence& aOne) {
      return aOne.isTarget && !aOne.routes.empty();
    }));
  const std::size_t minJudged = std::clamp<std::size_t>(targets, 1, kMinJudged);
  const auto requests = RequestsByRoute(aInstances);
  double total = 0;
  for (const auto& [route, n] : requests) {
    total += n;
  }
  bool allGood = !requests.empty() && targets != 0;
  for (const auto& [route, n] : requests) {
    const VersionVerdict verdict = JudgeRoute(aInstances, route, minJudged);
    if (verdict == VersionVerdict::kBad) {
      return VersionVerdict::kBad;
    }
    const bool matters = n >= kMinRouteShare * total;
    allGood = allGood && (verdict == VersionVerdict::kGood || !matters);
  }
  return allGood ? VersionVerdict::kGood : VersionVerdict::kUndecided;
}

} // namespace mustardwinch
