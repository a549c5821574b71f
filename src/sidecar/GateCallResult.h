#pragma once

#include "http/HttpAnswer.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/ResultCode.h"
#include "sidecar/CallOutcome.h"

#include <cstdint>
#include <optional>

namespace mustardwinch {

/** Final result of a request that was submitted to a gate. */
struct GateCallResult
{
  CallOutcome outcome = CallOutcome::kFailed; //!< promises nothing until something is known
  std::optional<ResultCode> reason;           //!< why there is no answer
  bool reached = false;                       //!< the request was sent to the upstream
  Milliseconds wait{ 0 }; //!< if the gate is full: expected time until a slot is free
  HttpAnswer answer;
  std::uint32_t running = 0; //!< load of the gate after this request
  std::uint32_t queued = 0;
};

} // namespace mustardwinch
