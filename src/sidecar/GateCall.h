#pragma once

#include "http/HttpRequest.h"
#include "mustardwinch/Clock.h"

#include <cstddef>
#include <string>

namespace mustardwinch {

/** A request that an ingress submits to a gate. */
struct GateCall
{
  std::string requestId;
  std::string service;
  HttpRequest request; //!< without headers set by the gate: remaining time, instance
  Milliseconds remaining{ 0 };
  Milliseconds latencyTarget{ 0 };
  int priority = 0;
  std::string organisation;
  bool idempotent = false;
  bool mayWait = false;      //!< may be queued; otherwise it starts at once or is refused
  bool lastResort = false;   //!< run even if the upstream is suspected to be unhealthy
  bool isRetry = false;      //!< another attempt was or may have been sent to an upstream
  std::string route;         //!< name, for what is counted by route
  std::string version;       //!< of the upstream, as the ingress has chosen; empty: any
  std::size_t bodyBytes = 0; //!< length of a body that follows
  bool bodyFollows = false;  //!< the body is sent separately once the gate has assigned a slot

  bool operator==(const GateCall&) const = default;
};

} // namespace mustardwinch
