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

/** The configuration of a service. */
struct TrafficService
{
  std::string name;
  std::string healthPath;
  std::uint32_t maxConnections = 400; //!< to one upstream, from all callers
  double coldRequestsPerSecond = 0;   //!< limit for a cold upstream; 0: no limit
  Milliseconds coldTime{ 0 };         //!< time from its start in which an upstream is cold

  bool operator==(const TrafficService&) const = default;
};

/** An organisation and, if set, the priority of all its requests. */
struct TrafficOrganisation
{
  Organisation organisation;
  std::optional<int> priority;

  bool operator==(const TrafficOrganisation&) const = default;
};

/** A complete version of the configuration that operators set. */
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
