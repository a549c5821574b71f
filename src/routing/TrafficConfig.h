#pragma once

#include "http/HttpLimits.h"
#include "mustardwinch/Organisation.h"
#include "routing/TrafficRoute.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/** What a configuration says of a service. */
struct TrafficService
{
  std::string name;
  std::string healthPath;
  std::uint32_t maxConnections = 400; //!< of one upstream, from all callers
  double coldRequestsPerSecond = 0;     //!< what an upstream bears while it is cold; 0: no limit
  Milliseconds coldTime{ 0 };         //!< how long an upstream stays cold after its start

  bool operator==(const TrafficService&) const = default;
};

/** An organisation and the priority that all its requests have, if one is set. */
struct TrafficOrganisation
{
  Organisation organisation;
  std::optional<int> priority;

  bool operator==(const TrafficOrganisation&) const = default;
};

/** One whole configuration of operators. */
struct TrafficConfig
{
  std::uint64_t version = 0;
  HttpLimits limits;
  std::vector<TrafficOrganisation> organisations;
  std::vector<TrafficRoute> routes;
  std::vector<TrafficService> services;

  bool operator==(const TrafficConfig&) const = default;
};

} // namespace mustardwinch
