#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** How one probe ended. */
struct ProbeOutcome
{
  std::string member;
  TimePoint sentAt; //!< of the ping
  bool answered = false;

  bool operator==(const ProbeOutcome&) const = default;
};

} // namespace mustardwinch
