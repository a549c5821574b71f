#pragma once

#include "history/History.h"

#include <nlohmann/json.hpp>

namespace mustardwinch {

/**
 * The measures of a history, as JSON for reports:
 * - detection: for each fault, milliseconds until its upstream was ejected, or null;
 * - falseEjections: ejections of upstreams that had no fault;
 * - worstServed: the organisation with the least share of its calls inside its rate answered well;
 * - wrongfulRefusals: calls refused as not run although inside the rate, of how many inside it;
 * - moves: for each change of a failure domain, share answered well and p99 in the time after it.
 */
nlohmann::json MeasureFleet(const History& aHistory);

} // namespace mustardwinch
