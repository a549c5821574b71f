#pragma once

#include "history/History.h"
#include "history/Verdict.h"

namespace mustardwinch {

/** A planned stop of a process cuts no request. */
struct PlannedStopCheck
{
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
