#pragma once

#include "history/History.h"
#include "history/Verdict.h"
#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** A cold upstream runs no more requests at once than it can bear. */
struct ColdBoundCheck
{
  std::chrono::microseconds detection =
    Seconds(5); //!< left after a turn to cold that nobody announced
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
