#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** How soon a withdrawn key must stop being accepted. */
struct RevocationSettings
{
  bool strict = false;         //!< the bound holds on every node, also on one that is cut off
  Milliseconds bound{ 5'000 }; //!< from the store's acknowledgement of the withdrawal

  bool operator==(const RevocationSettings&) const = default;
};

} // namespace mustardwinch
