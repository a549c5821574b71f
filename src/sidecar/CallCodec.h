#pragma once

#include "fleet/FleetMessage.h"
#include "sidecar/GateCall.h"
#include "sidecar/GateCallResult.h"

namespace mustardwinch {

/** Converts gate calls and results to and from the messages that nodes exchange. */
CallMessage ToMessage(const GateCall& aCall);
GateCall FromMessage(CallMessage aMessage);
CallResultMessage ToMessage(GateCallResult aResult);
GateCallResult FromMessage(CallResultMessage aMessage);

} // namespace mustardwinch
