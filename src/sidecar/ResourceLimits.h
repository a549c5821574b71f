#pragma once

#include "http/ListenerLimits.h"
#include "sidecar/ResourceSettings.h"

#include <cstddef>
#include <memory>

namespace mustardwinch {

/** Memory for the requests of callers and for bodies that other nodes send, of what the VM grants.
 * The rest is for the program, answers of upstreams and links. */
std::shared_ptr<MemoryBudget> MakeMemoryBudget(const ResourceSettings& aSettings);

/** Limits of the listener for callers. */
ListenerLimits CallerLimits(const ResourceSettings& aSettings,
                            std::shared_ptr<MemoryBudget> aMemory);

/** Limits of a listener for the platform or the upstream, with a memory of its own. */
ListenerLimits ServiceLimits(std::size_t aBodyBytes);

} // namespace mustardwinch
