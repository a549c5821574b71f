#pragma once

#include "limits/LeaseAction.h"
#include "limits/RateLayout.h"
#include "limits/StoredLease.h"
#include "mustardwinch/Result.h"

#include <functional>
#include <optional>
#include <string>

namespace mustardwinch {

/** What the rate area needs of the platform. Calls block and are made from a control thread. */
struct LeaseStore
{
  /** Reads a lease; nothing if there is none. */
  std::function<Result<std::optional<StoredLease>>(const std::string& aName)> read;

  /** Conditional write. kPlatformConflict: another version; any other failure: not known. */
  std::function<Result<StoredLease>(const std::string& aName, const LeaseWrite& aWrite)> write;

  /** The layout of the fleet: the one that was written first, which may be aProposed. */
  std::function<Result<RateLayout>(const RateLayout& aProposed)> agreeLayout;

  /** Whether an operator has declared that the process runs no more. */
  std::function<bool(const LeaseHolder& aHolder)> isDeclaredLost;
};

} // namespace mustardwinch
