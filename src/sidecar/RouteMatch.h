#pragma once

#include "http/HttpRequest.h"
#include "routing/RoutingTable.h"
#include "sidecar/HttpNames.h"

namespace mustardwinch {

/** Where the head of a request leads, or why the request is refused. */
struct RouteMatch
{
  const TrafficRoute* route = nullptr;
  const TrafficOrganisation* organisation = nullptr; //!< null if no key came with the request
  unsigned refusal = 0;                              //!< status; 0: the request is allowed
  const char* why = "";
};

/**
 * Finds the route and the organisation of a request by its head.
 *
 * @param aMayAcceptKeys false: a key may have been withdrawn unnoticed
 */
RouteMatch MatchRequest(const RoutingTable& aRouting,
                        const HttpNames& aNames,
                        const HttpRequest& aRequest,
                        bool aMayAcceptKeys);

} // namespace mustardwinch
