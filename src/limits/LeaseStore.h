#pragma once

#include "limits/LeaseAction.h"
#include "limits/RateLayout.h"
#include "limits/StoredLease.h"
#include "mustardwinch/Result.h"

#include <functional>
#include <optional>
#include <string>

namespace mustardwinch {

/** Platform interface of rate limiting. Calls block and are made from the control thread. */
struct LeaseStore
{
  /** Reads a lease; nullopt if there is none. */
  std::function<Result<std::optional<StoredLease>>(const std::string& aName)> read;

  /** Conditional write. kPlatformConflict: version mismatch; other failures: outcome unknown. */
  std::function<Result<StoredLease>(const std::string& aName, const LeaseWrite& aWrite)> write;

  /** Returns the fleet's layout: the one written first, which may be aProposed. */
  std::function<Result<RateLayout>(const RateLayout& aProposed)> agreeLayout;

  /** Epoch of the platform's history, greater each time that it came back from a copy. */
  std::function<std::uint64_t()> epoch;

  /** Whether an operator has declared the process lost. */
  std::function<bool(const LeaseHolder& aHolder)> isDeclaredLost;
};

} // namespace mustardwinch
