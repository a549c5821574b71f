#pragma once

#include "limits/RateStatus.h"

#include <nlohmann/json.hpp>

#include <string>

namespace mustardwinch {

class FleetAgent;

// What operators see of a node's parts: JSON for /status, Prometheus text for /metrics.

nlohmann::json FleetStatusJson(const FleetAgent& aFleet);
nlohmann::json RateStatusJson(const RateStatus& aStatus);
std::string RateMetricsText(const RateStatus& aStatus);

} // namespace mustardwinch
