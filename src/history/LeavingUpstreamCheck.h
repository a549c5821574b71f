#pragma once

#include "history/History.h"
#include "history/Verdict.h"
#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** An upstream marked as leaving gets no new work from some time after the mark was accepted. */
struct LeavingUpstreamCheck
{
  std::chrono::microseconds delay = Seconds(5); //!< from the accepted change on
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
