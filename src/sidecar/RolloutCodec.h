#pragma once

#include "fleet/RolloutMessage.h"
#include "rollout/RolloutReport.h"
#include "rollout/RolloutStep.h"

#include <optional>

namespace mustardwinch {

/** Converts roll-out reports and steps to and from the messages that nodes exchange. */
RolloutReportMessage ToMessage(const RolloutReport& aReport);
RolloutReport FromMessage(const RolloutReportMessage& aMessage);
RolloutStepMessage ToMessage(const RolloutStep& aStep);

/** Nothing if the phase is not known or the share is no fraction. */
std::optional<RolloutStep> FromMessage(const RolloutStepMessage& aMessage);

} // namespace mustardwinch
