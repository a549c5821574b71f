#pragma once

#include "gate/GateRequest.h"

#include <vector>

namespace mustardwinch {

/** Decision on one request: kOk starts it, any other code refuses it. */
struct GateDecision
{
  GateRequest request;
  ResultCode code;
  Duration queued{}; //!< time in the queue
};

using GateDecisions = std::vector<GateDecision>;

} // namespace mustardwinch
