#pragma once

#include "http/HttpRequest.h"
#include "mustardwinch/Clock.h"

#include <string>

namespace mustardwinch {

/** A request as an ingress hands it to a gate. */
struct GateCall
{
  std::string requestId;
  std::string service;
  HttpRequest request; //!< without what the gate sets: time left and instance
  Milliseconds remaining{ 0 };
  Milliseconds latencyTarget{ 0 };
  int priority = 0;
  std::string organisation;
  bool idempotent = false;
  bool mayWait = false;     //!< may be queued; otherwise it starts at once or is refused
  bool lastResort = false;  //!< run even if the upstream is doubtful
  bool isRetry = false;     //!< it was sent to an upstream before
  bool bodyFollows = false; //!< the request's body is handed over once the gate has a place for it

  bool operator==(const GateCall&) const = default;
};

} // namespace mustardwinch
