#pragma once

#include "mustardwinch/Clock.h"
#include "rollout/RolloutOrder.h"

#include <cstdint>
#include <set>
#include <string>

namespace mustardwinch {

/** Phases of a roll-out, in the order in which they follow each other. */
enum class RolloutPhase : std::uint8_t
{
  kWaiting,    //!< too few warm upstreams of the new version
  kCanary,     //!< a few upstreams of the new version get a small share
  kRamp,       //!< the share rises
  kNewOnly,    //!< all requests go to the new version; the old one finishes what it runs
  kRolledBack, //!< the new version gets nothing
};

/** What all nodes obey until the next step. */
struct RolloutStep
{
  RolloutOrder order;
  std::uint32_t number = 0; //!< greater in later steps of an order
  RolloutPhase phase = RolloutPhase::kWaiting;
  double share = 0;            //!< of the requests that go to the new version
  std::set<std::string> gates; //!< VMs whose upstreams get this share
  Milliseconds age{ 0 };       //!< of the order, when the step was sent

  bool operator==(const RolloutStep&) const = default;
};

} // namespace mustardwinch
