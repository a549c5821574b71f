#pragma once

#include "history/History.h"
#include "history/Verdict.h"

namespace mustardwinch {

/** No key of an organisation arrived at an upstream. */
struct KeyLeakCheck
{
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
