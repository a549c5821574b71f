#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/ResultCode.h"

#include <functional>
#include <string>

namespace mustardwinch {

/** A request for a slot of an upstream. */
struct GateRequest
{
  std::string organisation; //!< empty on routes that allow anonymous callers
  TimePoint deadline;
  /**
   * Called once unless the request is cancelled, on any thread and with no lock held. kOk: the
   * request has a slot, which GateScheduler::Finish() must release. Any other code: the request is
   * refused and certainly has not run.
   */
  std::function<void(ResultCode)> onDecision;
  bool idempotent = false; //!< true: may serve as a trial of an ejected upstream
};

} // namespace mustardwinch
