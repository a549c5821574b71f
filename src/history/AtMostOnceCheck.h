#pragma once

#include "history/History.h"
#include "history/Verdict.h"

namespace mustardwinch {

/** A request that is not idempotent ran at most once. */
struct AtMostOnceCheck
{
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
