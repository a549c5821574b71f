#include "placement/PlacementPolicy.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace mustardwinch {
namespace {

// All costs are in milliseconds of waiting that they are worth.

/** A queue of one round of all slots, at the usual work time of a request. */
constexpr double kRoundCost = 400;

/** A busy slot slows an upstream down a little; it also spreads requests evenly. */
constexpr double kLoadCost = 60;

// Requests that cannot be repeated are packed onto few upstreams, see OrderCost().

/** From the first upstream of the order to the last; less than kCrossingCost. */
constexpr double kOrderCost = 40;

/** Up to this part of the slots an upstream of the order is filled before the next. */
constexpr double kPackedShare = 0.5;

/** Busy slots up to and beyond that part. */
constexpr double kPackedLoadCost = 8;
constexpr double kOverloadCost = 80;

/** One request in so many ignores the order, so that no upstream stays unused. */
constexpr std::uint64_t kUnorderedPeriod = 16;

/** Another failure domain: a round trip, and the price of the bytes of two heads. */
constexpr double kCrossingCost = 60;

/** A kilobyte that crosses, from its price against that of a failed request. */
constexpr double kCrossingCostPerKilobyte = 12;

/** A link on which nothing is heard: only if all else is worse. */
constexpr double kSuspectedPathCost = 4'000;

/** A gate that has just refused for want of a slot. */
constexpr double kFullCost = 600;

/** A failure that the caller sees weighs as much as some seconds of waiting; one that can be
 *  repeated elsewhere costs a second attempt. */
constexpr double kFailureCost = 2'500;
constexpr double kRepeatCost = 400;

/** Risk of an upstream of which nothing is known, such as a new one. Below it all are equal, so
 * that new and idle upstreams get their part of the work. */
constexpr double kOrdinaryRisk = 0.05;

/** A trial that is due goes before all but a queue or another failure domain for a large body. */
constexpr double kTrialGain = 150;

/** A sound upstream that got nothing from this ingress for so long is tried with a request that can
 *  be repeated: it may have turned gray unseen, and no upstream shall idle while others are full.
 */
constexpr Milliseconds kForgottenAfter{ 2'000 };

/** A link and a copy are saved beside the caller. */
constexpr double kSelfGain = 12;

/** Gates that cost about the same share the load, though all ingresses see the same figures. */
constexpr double kSpread = 25;
constexpr double kPackedSpread = 8;

/** Gray failures strike up to a third of the upstreams of a service at a time. */
constexpr double kLeastProvenShare = 0.5;

/** Ratios up to this multiple of the median are ordinary differences between upstreams. */
constexpr double kOrdinarySpread = 1.5;

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

bool Accepts(const GateView& aGate, const PlacementRequest& aRequest)
{
  if (!aGate.available || aGate.service != aRequest.service ||
      aRequest.excluded.count(aGate.vm) != 0) {
    return false;
  }
  if (aRequest.lastResort || aRequest.fewTrusted || aGate.trust == UpstreamTrust::kTrusted) {
    return true;
  }
  return aRequest.idempotent && aGate.trust == UpstreamTrust::kTrialDue && !aGate.pathSuspected;
}

/** A number from 0 to 1 that differs for each gate and request. */
double Jitter(const GateView& aGate, std::uint64_t aDraw)
{
  constexpr double kRange = 1024;
  const std::uint64_t mixed = std::hash<std::string>()(aGate.vm) ^ aDraw;
  return static_cast<double>((mixed * 0x9E3779B97F4A7C15ULL) >> 54) / kRange;
}

/** The same on all ingresses, so that they fill the same upstreams first. */
double OrderCost(const GateView& aGate)
{
  constexpr double kRange = 1024;
  const XXH64_hash_t hash = XXH64(aGate.vm.data(), aGate.vm.size(), 0);
  return kOrderCost * static_cast<double>(hash % static_cast<XXH64_hash_t>(kRange)) / kRange;
}

/** What busy slots cost, and which gates go first among sound ones. */
double LoadCost(const GateView& aGate, const PlacementRequest& aRequest)
{
  const double slots = std::max<std::uint32_t>(1, aGate.slots);
  const double busy = std::max<double>(aGate.running + aGate.queued, aGate.outstanding);
  const double queue = kRoundCost * std::max(0.0, busy + 1 - slots) / slots;
  const double share = busy / slots;
  if (aRequest.idempotent || aRequest.randomBits % kUnorderedPeriod == 0) {
    return queue + kLoadCost * share + kSpread * Jitter(aGate, aRequest.randomBits);
  }
  const double packed =
    kPackedLoadCost * share + kOverloadCost * std::max(0.0, share - kPackedShare);
  return queue + packed + OrderCost(aGate) + kPackedSpread * Jitter(aGate, aRequest.randomBits);
}

} // namespace

double PlacementPolicy::Cost(const GateView& aGate,
                             const PlacementRequest& aRequest,
                             double aMedianRatio,
                             TimePoint aNow) const
{
  double cost = LoadCost(aGate, aRequest);
  if (aGate.failureDomain != mFailureDomain) {
    cost += kCrossingCost;
    cost += kCrossingCostPerKilobyte * static_cast<double>(aRequest.bodyBytes) / 1024;
  }
  if (aGate.pathSuspected) {
    cost += kSuspectedPathCost;
  }
  if (aNow < aGate.fullUntil) {
    cost += kFullCost;
  }
  const bool trial = aRequest.idempotent && !aRequest.lastResort &&
                     aGate.failureDomain == mFailureDomain &&
                     aGate.trust == UpstreamTrust::kTrialDue;
  const bool forgotten = aRequest.idempotent && aGate.failureDomain == mFailureDomain &&
                         aGate.trust == UpstreamTrust::kTrusted &&
                         aNow - aGate.lastChosen > kForgottenAfter;
  if (trial || forgotten) {
    cost -= kTrialGain;
  } else {
    if (aMedianRatio > 0 && aGate.latencyRatio > kOrdinarySpread * aMedianRatio) {
      cost += kRoundCost * (aGate.latencyRatio / aMedianRatio - 1);
    }
    const double risk = std::max(0.0, aGate.grayProbability - kOrdinaryRisk);
    cost += risk * (aRequest.idempotent ? kRepeatCost : kFailureCost);
  }
  return aGate.self ? cost - kSelfGain : cost;
}

bool PlacementPolicy::FewTrusted(const std::vector<const GateView*>& aGates,
                                const std::string& aService)
{
  std::size_t available = 0;
  std::size_t proven = 0;
  for (const GateView* it : aGates) {
    if (it->available && it->service == aService) {
      ++available;
      proven += it->trust == UpstreamTrust::kTrusted ? 1 : 0;
    }
  }
  return static_cast<double>(proven) < kLeastProvenShare * static_cast<double>(available);
}

int PlacementPolicy::Choose(const std::vector<const GateView*>& aGates,
                            const PlacementRequest& aRequest,
                            TimePoint aNow) const
{
  const double median = MedianRatio(aGates, aRequest.service);
  int best = -1;
  double least = 0;
  for (std::size_t i = 0; i < aGates.size(); ++i) {
    if (!Accepts(*aGates[i], aRequest)) {
      continue;
    }
    const double cost = Cost(*aGates[i], aRequest, median, aNow);
    if (best < 0 || cost < least) {
      best = static_cast<int>(i);
      least = cost;
    }
  }
  return best;
}

} // namespace mustardwinch
