#pragma once

#include "health/EjectionReason.h"
#include "health/UpstreamEvidence.h"
#include "mustardwinch/Clock.h"

#include <map>

namespace mustardwinch {

/**
 * What observers other than the gate say of its upstreams: ingresses on other nodes, and probes. No
 * upstream is ejected from the fleet on the word of its gate alone. Not thread safe.
 */
class EvidenceTable
{
public:
  /** @param aObserver address of the ingress */
  void Report(const Address& aObserver, const UpstreamEvidence& aEvidence, TimePoint aNow);

  /** @param aGood whether the probe was answered well */
  void ReportProbe(const Address& aUpstream, bool aGood);

  /** Whether another observer agrees that the upstream has the fault. */
  bool Confirms(const Address& aUpstream, EjectionReason aReason, TimePoint aNow) const;

  /** Drops what is too old to count. */
  void RemoveExpired(TimePoint aNow);

private:
  struct Sighting
  {
    UpstreamEvidence evidence;
    TimePoint at;
  };

  struct Upstream
  {
    std::map<Address, Sighting> reports; //!< by ingress
    int failedProbes = 0;                //!< in a row
  };

  std::map<Address, Upstream> mUpstreams;
};

} // namespace mustardwinch
