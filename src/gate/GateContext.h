#pragma once

#include "config/ConfigSnapshot.h"
#include "mustardwinch/Clock.h"

#include <optional>

namespace mustardwinch {

/** Inputs of the decisions on an upstream, apart from its own state. */
struct GateContext
{
  TimePoint now;
  const ConfigSnapshot& config;
  bool accepting = true;                      //!< false: the node is stopping
  std::optional<Duration> typicalServiceTime; //!< median time of a complete response, if known
};

} // namespace mustardwinch
