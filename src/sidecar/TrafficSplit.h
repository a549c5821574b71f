#pragma once

#include "routing/TrafficRoute.h"

#include <string>

namespace mustardwinch {

/**
 * The service that runs the next request of a route. Positions step by the golden ratio, so that
 * each part gets its weight's share also over few requests; a part without room is not replaced.
 *
 * @param aPosition of the route, 0 to 1; stepped on
 */
const std::string& ChooseTarget(const TrafficRoute& aRoute, double& aPosition);

} // namespace mustardwinch
