#pragma once

#include "config/ConfigSnapshot.h"
#include "health/EjectionSet.h"
#include "membership/UpstreamDirectory.h"

#include <cstdint>
#include <vector>

namespace mustardwinch {

/**
 * Ejection rules of one service, evaluated on one snapshot of the fleet: which upstreams may be
 * ejected without healthy capacity falling below the floor, and which ejections must end when
 * capacity has fallen for other reasons. The ejection set that these decisions are based on is read
 * and written in one conditional update.
 */
class EjectionPolicy
{
public:
  /** All arguments must outlive the policy. */
  EjectionPolicy(const UpstreamDirectory::List& aService,
                 const ConfigSnapshot& aConfig,
                 const EjectionSet& aEjections);

  /**
   * Slots of healthy upstreams: ready, not leaving, in a failure domain that is in service, warm
   * and not ejected.
   */
  std::uint32_t HealthySlots() const { return mHealthySlots; }

  /**
   * Healthy slots that must remain after an ejection: the configured floor, but at least half of
   * the ready slots.
   */
  std::uint32_t FloorForEjection() const;

  /** Whether the service stays at or above FloorForEjection() without the upstream. */
  bool MayEject(const Address& aUpstream) const;

  /**
   * The ejections, least severe first, that must end for the configured floor to be met; possibly
   * all of them.
   */
  std::vector<Address> EjectionsToRelease() const;

  /** Upstreams that have restarted since they were ejected. */
  std::vector<Address> StaleEjections() const;

private:
  bool TakesWork(const UpstreamRecord& aRecord) const;
  bool IsHealthy(const UpstreamRecord& aRecord) const;
  const UpstreamRecord* Find(const Address& aUpstream) const;

  const std::vector<UpstreamRecord>& mUpstreams;
  const ConfigSnapshot& mConfig;
  const EjectionSet& mEjections;
  std::uint32_t mFloor = 0;
  std::uint32_t mReadySlots = 0;    //!< of upstreams that take work, cold and ejected ones included
  std::uint32_t mExpectedSlots = 0; //!< as mReadySlots, without ejected upstreams
  std::uint32_t mHealthySlots = 0;
};

} // namespace mustardwinch
