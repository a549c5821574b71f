#pragma once

#include "config/ConfigSnapshot.h"
#include "health/EjectionSet.h"
#include "membership/UpstreamDirectory.h"

#include <cstdint>
#include <vector>

namespace mustardwinch {

/**
 * The rules of ejection for one service, on one view of the fleet: what may be ejected without
 * healthy capacity falling below the floor, and what must return when it fell for other causes.
 * The set of ejections is read and written in the same conditional update as these decisions.
 */
class EjectionPolicy
{
public:
  /** All arguments must outlive the policy. */
  EjectionPolicy(const UpstreamDirectory::List& aService,
                 const ConfigSnapshot& aConfig,
                 const EjectionSet& aEjections);

  /** Slots of upstreams that are ready, not leaving, in a domain that is in, warm and not ejected.
   */
  std::uint32_t HealthySlots() const { return mHealthySlots; }

  /** Slots that ejection must leave: the operators' floor, and never less than half of all. */
  std::uint32_t FloorForEjection() const;

  /** Whether the service keeps its floor without the upstream. */
  bool MayEject(const Address& aUpstream) const;

  /** The least bad ejections that must end for the operators' floor to be met, maybe all. */
  std::vector<Address> EjectionsToRelease() const;

  /** Ejections whose upstream has restarted since. */
  std::vector<Address> StaleEjections() const;

private:
  bool TakesWork(const UpstreamRecord& aRecord) const;
  bool IsHealthy(const UpstreamRecord& aRecord) const;
  const UpstreamRecord* Find(const Address& aUpstream) const;

  const std::vector<UpstreamRecord>& mUpstreams;
  const ConfigSnapshot& mConfig;
  const EjectionSet& mEjections;
  std::uint32_t mFloor = 0;
  std::uint32_t mReadySlots = 0;  //!< that take work, cold and ejected ones included
  std::uint32_t mComingSlots = 0; //!< healthy ones and those that are still cold
  std::uint32_t mHealthySlots = 0;
};

} // namespace mustardwinch
