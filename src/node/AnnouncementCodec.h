#pragma once

#include "gate/GateScheduler.h"
#include "mustardwinch/Result.h"

#include <string_view>

namespace mustardwinch {

/**
 * Reads the JSON that an upstream sends to announce itself (docs/UPSTREAM-INTERFACE.md).
 * kResourceInvalid with the field and what is allowed on bad input.
 */
Result<Announcement> ParseAnnouncement(std::string_view aJson);

} // namespace mustardwinch
