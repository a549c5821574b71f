#pragma once

#include "routing/TrafficRoute.h"

#include <string>

namespace mustardwinch {

/**
 * Returns the target service of the next request of a route. The position advances by the golden
 * ratio modulo 1, so that the targets receive requests in proportion to their weights even over few
 * requests. A target without free capacity is not replaced by another.
 *
 * @param aPosition position of the route, 0 to 1; advanced by this call
 */
const std::string& ChooseTarget(const TrafficRoute& aRoute, double& aPosition);

} // namespace mustardwinch
