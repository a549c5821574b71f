#pragma once

#include "http/HttpRequest.h"
#include "mustardwinch/Clock.h"
#include "routing/RoutingTable.h"
#include "sidecar/HttpNames.h"

namespace mustardwinch {

/** When the caller or the route gives a request up, whichever is sooner. */
TimePoint DeadlineOf(const HttpRequest& aRequest,
                     const TrafficRoute& aRoute,
                     const HttpNames& aNames,
                     TimePoint aArrival);

} // namespace mustardwinch
