#pragma once

#include "routing/TrafficRoute.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/**
 * Position at which a node begins with a route, 0 to 1.
 *
 * Load pattern: hundreds of nodes receive a few requests of a route each. If all began at the same
 * position, all would send their first requests to the same target.
 */
double InitialSplitPosition(std::uint64_t aRandomBits);

/**
 * Returns the target service of the next request of a route. The position advances by the golden
 * ratio modulo 1, so that the targets receive requests in proportion to their weights even over few
 * requests. A target without free capacity is not replaced by another.
 *
 * @param aPosition position of the route, 0 to 1; advanced by this call
 */
const std::string& ChooseTarget(const TrafficRoute& aRoute, double& aPosition);

} // namespace mustardwinch
