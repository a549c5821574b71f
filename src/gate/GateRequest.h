#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/ResultCode.h"

#include <functional>
#include <string>

namespace mustardwinch {

/** One request that waits at the gate for a slot of an upstream. */
struct GateRequest
{
  std::string organisation; //!< empty on routes open to all
  TimePoint deadline;
  /**
   * Called once, from any thread and without locks: kOk when the request has a slot, which
   * GateScheduler::Finish gives back, or the refusal, which is always certain not to have run.
   */
  std::function<void(ResultCode)> onDecision;
  bool idempotent = false; //!< true: may serve as a trial of an ejected upstream
};

} // namespace mustardwinch
