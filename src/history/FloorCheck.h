#pragma once

#include "history/History.h"
#include "history/Verdict.h"

namespace mustardwinch {

/** Ejecting an upstream left at least the floor of healthy slots to its service. */
struct FloorCheck
{
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
