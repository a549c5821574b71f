#pragma once

#include "history/History.h"
#include "history/Verdict.h"
#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** A failure domain that is out gets no new work from some time after the change was accepted. */
struct FailureDomainCheck
{
  std::chrono::microseconds delay = Seconds(5); //!< from the accepted change on
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
