#pragma once

#include "routing/RoutingTable.h"

namespace mustardwinch {

/** Before all priorities that operators can set, which begin at 0. */
inline constexpr int kInnerCallPriority = -1;

/**
 * Priority of a request wherever it waits; lower values go first.
 *
 * Load pattern: an upstream that runs a request makes calls at another service, which also gets new
 * requests and is short of slots. A call that is turned away loses the run that made it, while a
 * new request has cost nothing yet.
 *
 * @param aIsInnerCall an upstream makes it while it runs a request
 */
inline int PriorityOf(const TrafficRoute& aRoute,
                      const TrafficOrganisation* aOrganisation,
                      bool aIsInnerCall)
{
  if (aIsInnerCall) {
    return kInnerCallPriority;
  }
  const bool isSet = aOrganisation != nullptr && aOrganisation->priority;
  return isSet ? *aOrganisation->priority : aRoute.priority;
}

} // namespace mustardwinch
