#include "placement/PlacementPolicy.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace mustardwinch {
namespace {

// All costs are expressed as the equivalent waiting time in milliseconds.

/** A queue of one request per slot, at the usual service time of a request. */
constexpr double kQueueRoundCost = 400;

/** Cost if all slots are busy: load slows an upstream down slightly. Also spreads requests evenly.
 */
constexpr double kLoadCost = 60;

// Requests that cannot be retried are packed onto few upstreams, see PackingOrderCost().

/** Difference between the first and the last upstream of the packing order; less than
 * kCrossDomainCost. */
constexpr double kPackingOrderCost = 40;

/** An upstream is filled up to this fraction of its slots before the next one in the order. */
constexpr double kPackedShare = 0.5;

// The same for packed requests: cost if all slots are busy, and extra cost per share above
// kPackedShare.
constexpr double kPackedLoadCost = 8;
constexpr double kOverloadCost = 80;

/** One request in this many ignores the order, so that no upstream stays unused. */
constexpr std::uint64_t kUnpackedRequestPeriod = 16;

/** Another failure domain: one round trip and the price of transferring two message heads. */
constexpr double kCrossDomainCost = 60;

/** Per kilobyte sent to another failure domain, from its price relative to a failed request. */
constexpr double kCrossDomainCostPerKilobyte = 12;

/** A silent link: chosen only if all other gates cost more. */
constexpr double kSuspectedPathCost = 4'000;

/** A gate that recently refused a request because it had no free slot. */
constexpr double kNoSlotCost = 600;

// A failure that the caller sees costs as much as a few seconds of waiting; one that can be retried
// on another upstream costs a second attempt.
constexpr double kFailureCost = 2'500;
constexpr double kRetryCost = 400;

/** Probability of a gray failure of an upstream without evidence, such as a new one. Lower values
 * are treated as equal, so that new and idle upstreams get their share of the requests. */
constexpr double kBaselineRisk = 0.05;

/** A due trial takes precedence over everything except a queue, or another failure domain for a
 * large body. */
constexpr double kTrialBonus = 150;

/** A trusted upstream that this ingress has not used for longer is preferred for an idempotent
 * request: it may have an undetected gray failure, and no upstream should idle while others are
 * full. */
constexpr Milliseconds kUnusedAfter{ 2'000 };

/** The gate on the caller's node saves a link and a copy. */
constexpr double kLocalGateBonus = 12;

// Random part of the cost. It spreads the load over gates of about equal cost, although all
// ingresses see the same state.
constexpr double kCostJitter = 25;
constexpr double kPackedCostJitter = 8;

/** Gray failures affect up to a third of the upstreams of a service at a time. */
constexpr double kMinTrustedShare = 0.5;

/** Latency ratios up to this multiple of the median are normal differences between upstreams. */
constexpr double kNormalLatencyFactor = 1.5;

double MedianRatio(const std::vector<const GateView*>& aGates, const std::string& aService)
{
  std::vector<double> ratios;
  for (const GateView* it : aGates) {
    if (it->service == aService && it->latencyRatio > 0) {
      ratios.push_back(it->latencyRatio);
    }
  }
  if (ratios.empty()) {
    return 0;
  }
  const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return *middle;
}

bool IsEligible(const GateView& aGate, const PlacementRequest& aRequest)
{
  if (!aGate.available || aGate.service != aRequest.service ||
      aRequest.excluded.count(aGate.vm) != 0 ||
      !aRequest.versions.Allows(aGate.version, aGate.vm)) {
    return false;
  }
  if (aRequest.lastResort || aRequest.fewTrusted || aGate.trust == UpstreamTrust::kTrusted) {
    return true;
  }
  return aRequest.idempotent && aGate.trust == UpstreamTrust::kTrialDue && !aGate.pathSuspected;
}

/** Pseudorandom number in [0, 1) that depends on the gate and the request. */
double Jitter(const GateView& aGate, std::uint64_t aRandomBits)
{
  constexpr double kRange = 1024;
  const std::uint64_t mixed = std::hash<std::string>()(aGate.vm) ^ aRandomBits;
  return static_cast<double>((mixed * 0x9E3779B97F4A7C15ULL) >> 54) / kRange;
}

/** Cost of an upstream by its rank in the packing order, which is the same on all ingresses, so
 * that they fill the same upstreams first. */
double PackingOrderCost(const GateView& aGate)
{
  constexpr double kRange = 1024;
  const XXH64_hash_t hash = XXH64(aGate.vm.data(), aGate.vm.size(), 0);
  return kPackingOrderCost * static_cast<double>(hash % static_cast<XXH64_hash_t>(kRange)) / kRange;
}

/** Cost of queueing and of busy slots, including the packing order and the random part. */
double LoadCost(const GateView& aGate, const PlacementRequest& aRequest)
{
  const double slots = std::max<std::uint32_t>(1, aGate.slots);
  const double busy = std::max<double>(aGate.running + aGate.queued, aGate.outstanding);
  const double queue = kQueueRoundCost * std::max(0.0, busy + 1 - slots) / slots;
  const double share = busy / slots;
  if (aRequest.idempotent || aRequest.randomBits % kUnpackedRequestPeriod == 0) {
    return queue + kLoadCost * share + kCostJitter * Jitter(aGate, aRequest.randomBits);
  }
  const double packed =
    kPackedLoadCost * share + kOverloadCost * std::max(0.0, share - kPackedShare);
  return queue + packed + PackingOrderCost(aGate) +
         kPackedCostJitter * Jitter(aGate, aRequest.randomBits);
}

} // namespace

double PlacementPolicy::Cost(const GateView& aGate,
                             const PlacementRequest& aRequest,
                             double aMedianRatio,
                             TimePoint aNow) const
{
  double cost = LoadCost(aGate, aRequest);
  if (aGate.failureDomain != mFailureDomain) {
    cost += kCrossDomainCost;
    cost += kCrossDomainCostPerKilobyte * static_cast<double>(aRequest.bodyBytes) / 1024;
  }
  if (aGate.pathSuspected) {
    cost += kSuspectedPathCost;
  }
  if (aNow < aGate.fullUntil) {
    cost += kNoSlotCost;
  }
  const bool trial = aRequest.idempotent && !aRequest.lastResort &&
                     aGate.failureDomain == mFailureDomain &&
                     aGate.trust == UpstreamTrust::kTrialDue;
  const bool unused = aRequest.idempotent && aGate.failureDomain == mFailureDomain &&
                      aGate.trust == UpstreamTrust::kTrusted &&
                      aNow - aGate.lastChosen > kUnusedAfter;
  if (trial || unused) {
    cost -= kTrialBonus;
  } else {
    if (aMedianRatio > 0 && aGate.latencyRatio > kNormalLatencyFactor * aMedianRatio) {
      cost += kQueueRoundCost * (aGate.latencyRatio / aMedianRatio - 1);
    }
    const double risk = std::max(0.0, aGate.grayProbability - kBaselineRisk);
    cost += risk * (aRequest.idempotent ? kRetryCost : kFailureCost);
  }
  return aGate.self ? cost - kLocalGateBonus : cost;
}

bool PlacementPolicy::FewTrusted(const std::vector<const GateView*>& aGates,
                                 const std::string& aService)
{
  std::size_t available = 0;
  std::size_t trusted = 0;
  for (const GateView* it : aGates) {
    if (it->available && it->service == aService) {
      ++available;
      trusted += it->trust == UpstreamTrust::kTrusted ? 1 : 0;
    }
  }
  return static_cast<double>(trusted) < kMinTrustedShare * static_cast<double>(available);
}

int PlacementPolicy::Choose(const std::vector<const GateView*>& aGates,
                            const PlacementRequest& aRequest,
                            TimePoint aNow) const
{
  const double median = MedianRatio(aGates, aRequest.service);
  int best = -1;
  double lowest = 0;
  for (std::size_t i = 0; i < aGates.size(); ++i) {
    if (!IsEligible(*aGates[i], aRequest)) {
      continue;
    }
    const double cost = Cost(*aGates[i], aRequest, median, aNow);
    if (best < 0 || cost < lowest) {
      best = static_cast<int>(i);
      lowest = cost;
    }
  }
  return best;
}

} // namespace mustardwinch
