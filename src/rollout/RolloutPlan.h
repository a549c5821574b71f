#pragma once

#include "mustardwinch/Clock.h"
#include "rollout/RolloutStep.h"
#include "rollout/VersionJudge.h"
#include "sidecar/RolloutSettings.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace mustardwinch {

/** What the coordinator of a roll-out knows when it plans the next step. */
struct RolloutFacts
{
  Duration age{ 0 }; //!< of the order
  Duration duration{ 0 };
  Duration inPhase{ 0 }; //!< since the phase or the share last changed
  RolloutPhase phase = RolloutPhase::kWaiting;
  double share = 0;
  VersionVerdict verdict = VersionVerdict::kUndecided;
  std::size_t oldGates = 0;
  std::size_t newGates = 0;   //!< warm and available
  bool targetKnown = false;   //!< an upstream has announced the version
  std::uint64_t requests = 0; //!< to the service since the order
  std::uint64_t exposed = 0;  //!< of these, to the new version
  double requestsPerSecond = 0;
};

/** The step that follows. */
struct RolloutPlan
{
  RolloutPhase phase = RolloutPhase::kWaiting;
  double share = 0;
  std::size_t gates = 0; //!< number of upstreams that get the share; 0: all
  std::string reason;    //!< why it is rolled back

  bool operator==(const RolloutPlan&) const = default;
};

/**
 * Plans the next step of a roll-out.
 *
 * Load patterns:
 * (1) a version that is bad at once: it has the first, small share;
 * (2) one that turns bad later: the share stays small for half of the time, and then never is
 *     larger than what may still be exposed until the fault is noticed;
 * (3) one that is bad under load only: the share goes to so few upstreams that each of them bears
 *     the load of one of the old version;
 * (4) new upstreams that are cold: nothing is sent before some of them are warm.
 */
RolloutPlan PlanRollout(const RolloutFacts& aFacts, const RolloutSettings& aSettings);

} // namespace mustardwinch
