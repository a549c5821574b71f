#pragma once

#include "mustardwinch/CapacityFloor.h"
#include "mustardwinch/FailureDomainState.h"
#include "mustardwinch/LeavingUpstream.h"
#include "mustardwinch/Organisation.h"
#include "mustardwinch/Route.h"
#include "mustardwinch/Service.h"

#include <variant>

namespace mustardwinch {

/** Any resource that operators write. */
using Resource =
  std::variant<Service, Route, Organisation, CapacityFloor, FailureDomainState, LeavingUpstream>;

} // namespace mustardwinch
