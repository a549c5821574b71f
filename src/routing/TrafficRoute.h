#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** One destination of a route and its part of the route's requests. */
struct RouteTarget
{
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/** Sends the requests of a host and a path prefix to services. */
struct TrafficRoute
{
  std::string name;
  std::string host;
  std::string pathPrefix;           //!< begins and ends with '/'; the longest match wins
  std::vector<RouteTarget> targets; //!< at least one
  bool idempotent = false;          //!< a request may run more than once
  bool allowAnonymous = false;                //!< no key is needed
  Milliseconds timeout{ 10'000 };   //!< a caller is answered by then
  Milliseconds latencyTarget{ 0 };  //!< an answer within it is of full use; 0: none is set
  std::uint32_t maxAttempts = 1;    //!< upstreams that may run one request
  int priority = 0;                 //!< 0 is the most urgent

  bool operator==(const TrafficRoute&) const = default;
};

} // namespace mustardwinch
