#pragma once

#include "rollout/RolloutOrder.h"
#include "rollout/RolloutStatus.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardwinch {

/** An order and its status as the store holds them. */
struct StoredRollout
{
  RolloutOrder order;
  std::optional<RolloutStatus> status; //!< also that of an earlier order
  std::string problem;                 //!< why the order is malformed; empty: it is not
  std::uint64_t revision = 0;          //!< of the stored object

  /** State of this order, not of an earlier one. */
  std::optional<RolloutState> State() const
  {
    return status && status->orderId == order.id ? std::optional(status->state) : std::nullopt;
  }

  bool operator==(const StoredRollout&) const = default;
};

} // namespace mustardwinch
