#pragma once

#include "mustardwinch/Organisation.h"
#include "quota/RateSettings.h"
#include "sidecar/RetrySettings.h"

#include <string>

namespace mustardwinch {

/**
 * Returns the part of a service's retry budget that all nodes share, as a rate that one node
 * counts.
 *
 * Load pattern: partially failing upstreams affect the requests of a few nodes at a time. If the
 * budget were divided equally among 80 nodes, most of it would be unused while some nodes have too
 * little.
 */
Organisation MakeSharedRetryBudget(const std::string& aService, const RetrySettings& aSettings);

/** Returns the overrun of the shared budgets that the retry budget still bears. */
RateSettings MakeRetryTolerance(const RetrySettings& aSettings);

} // namespace mustardwinch
