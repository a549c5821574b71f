#pragma once

#include "history/History.h"
#include "history/Verdict.h"

namespace mustardwinch {

/** No upstream ran a request whose caller was told that it did not run. */
struct NotRunCheck
{
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
