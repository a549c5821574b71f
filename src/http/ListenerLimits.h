#pragma once

#include "http/MemoryBudget.h"

#include <cstddef>
#include <limits>
#include <memory>

namespace mustardwinch {

/** What all connections of a listener may use together. */
struct ListenerLimits
{
  std::size_t connections = std::numeric_limits<std::size_t>::max();
  std::size_t bodyBytes = std::numeric_limits<std::size_t>::max(); //!< below that of HttpLimits
  std::shared_ptr<MemoryBudget> memory;                            //!< null: not limited
};

} // namespace mustardwinch
