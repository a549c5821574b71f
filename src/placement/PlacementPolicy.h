#pragma once

#include "mustardwinch/Clock.h"
#include "placement/GateView.h"
#include "placement/PlacementRequest.h"

#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Chooses the gate with the lowest cost for a request.
 *
 * Load patterns:
 * (1) steady load with free slots everywhere: requests stay in the failure domain, since traffic
 *     between domains is expensive, and are spread evenly;
 * (2) a failure domain that lost upstreams: requests go to another domain as soon as a free slot
 *     there costs less than the local queue, those with large bodies last;
 * (3) gray failures: idempotent requests serve as trials of suspected upstreams, the others avoid
 *     them;
 * (4) slow upstreams: the cost grows with the latency relative to the median of the service.
 */
class PlacementPolicy
{
public:
  explicit PlacementPolicy(std::string aFailureDomain)
    : mFailureDomain(std::move(aFailureDomain))
  {
  }

  /** Index of the chosen gate in aGates; -1 if none is eligible. */
  int Choose(const std::vector<const GateView*>& aGates,
             const PlacementRequest& aRequest,
             TimePoint aNow) const;

  /**
   * Whether so many upstreams of a service are suspected that suspicion says little about a single
   * one.
   *
   * Load pattern: all upstreams of a service lose some of their responses, or shed requests, at the
   * same time. The few that are still trusted would receive the whole load, and requests in their
   * queues would miss their deadlines.
   */
  static bool FewTrusted(const std::vector<const GateView*>& aGates, const std::string& aService);

private:
  double Cost(const GateView& aGate,
              const PlacementRequest& aRequest,
              double aMedianRatio,
              TimePoint aNow) const;

  const std::string mFailureDomain;
};

} // namespace mustardwinch
