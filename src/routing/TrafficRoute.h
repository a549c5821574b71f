#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** A destination service of a route and its weight in the traffic split. */
struct RouteTarget
{
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/** Routes the requests for a host and a path prefix to services. */
struct TrafficRoute
{
  std::string name;
  std::string host;
  std::string pathPrefix;           //!< begins and ends with '/'; the longest match wins
  std::vector<RouteTarget> targets; //!< at least one
  bool idempotent = false;          //!< a request may be executed more than once
  bool allowAnonymous = false;      //!< no API key is required
  Milliseconds timeout{ 10'000 };   //!< the caller gets a response within this time
  Milliseconds latencyTarget{ 0 };  //!< a response within it has its full value; 0: not set
  std::uint32_t maxAttempts = 1;    //!< maximum number of upstreams per request
  int priority = 0;                 //!< 0 is the most urgent

  bool operator==(const TrafficRoute&) const = default;
};

} // namespace mustardwinch
