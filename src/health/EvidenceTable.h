#pragma once

#include "health/EjectionReason.h"
#include "health/UpstreamEvidence.h"
#include "mustardwinch/Clock.h"

#include <map>

namespace mustardwinch {

/**
 * Observations of a gate's upstreams by others than the gate: ingresses on other nodes, and probes.
 * An upstream is ejected only if such an observer confirms the gate's own finding. Not thread safe.
 */
class EvidenceTable
{
public:
  /**
   * Stores the latest report of an ingress, in place of its previous one on the same upstream.
   *
   * @param aObserver address of the ingress
   */
  void Report(const Address& aObserver, const UpstreamEvidence& aEvidence, TimePoint aNow);

  /** Records the result of one health probe. */
  void ReportProbe(const Address& aUpstream, bool aSucceeded);

  /** Whether recent reports of ingresses, or failed probes, confirm the reason. */
  bool Confirms(const Address& aUpstream, EjectionReason aReason, TimePoint aNow) const;

  /** Removes reports that are too old to count. */
  void RemoveExpired(TimePoint aNow);

private:
  struct ObserverReport
  {
    UpstreamEvidence evidence;
    TimePoint receivedAt;
  };

  struct Upstream
  {
    std::map<Address, ObserverReport> reports; //!< by ingress
    int failedProbes = 0;                      //!< consecutive
  };

  std::map<Address, Upstream> mUpstreams;
};

} // namespace mustardwinch
