#pragma once

#include "mustardwinch/Clock.h"
#include "placement/GateView.h"
#include "placement/PlacementRequest.h"

#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Chooses the gate for a request.
 *
 * Load patterns: (1) steady load with room everywhere: stay in the failure domain, since bytes
 * between domains are dear, and spread evenly; (2) a domain that lost upstreams: cross as soon as a
 * free slot elsewhere beats the queue at home, large bodies last; (3) gray failures: idempotent
 * requests try doubtful upstreams, the others keep away; (4) slow upstreams: weigh by latency
 * against the median of the service.
 */
class PlacementPolicy
{
public:
  explicit PlacementPolicy(std::string aFailureDomain)
    : mFailureDomain(std::move(aFailureDomain))
  {
  }

  /** Index of the chosen gate in aGates; -1 if none can take the request. */
  int Choose(const std::vector<const GateView*>& aGates,
             const PlacementRequest& aRequest,
             TimePoint aNow) const;

  /**
   * Whether so many upstreams of a service are in doubt that doubt tells nothing of a single one.
   *
   * Load pattern: all upstreams of a service lose a part of the answers at once, or shed. The few
   * that nobody doubts yet would get the whole load, and queues at them would outlast deadlines.
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
