#pragma once

#include "mustardwinch/Organisation.h"
#include "sidecar/RetrySettings.h"

#include <string>

namespace mustardwinch {

/**
 * The part of a service's retry budget that all nodes share, as a rate that one node counts.
 *
 * Load pattern: gray upstreams strike the requests of a few nodes at a time. If each of 80 nodes
 * had an equal part of the budget, most of it would lie idle while some nodes have too little.
 */
Organisation MakeSharedRetryBudget(const std::string& aService, const RetrySettings& aSettings);

} // namespace mustardwinch
