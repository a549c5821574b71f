#pragma once

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Progress of an order as the fleet reports it to operators. */
enum class RolloutState : std::uint8_t
{
  kRunning,
  kCompleted,  //!< the upstreams of other versions are stopped without a drain
  kRolledBack, //!< the upstreams of the new version are drained
};

/** What the fleet writes into the status of an order. */
struct RolloutStatus
{
  RolloutState state = RolloutState::kRunning;
  std::string target;
  std::string base;          //!< version in use when the order began; empty if none was known
  std::string reason;        //!< why it was rolled back
  std::uint64_t orderId = 0; //!< RolloutOrder::id

  bool operator==(const RolloutStatus&) const = default;
};

} // namespace mustardwinch
