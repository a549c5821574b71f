#pragma once

#include "history/History.h"
#include "history/Verdict.h"
#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** Nothing runs with a key from some time after its withdrawal was accepted. */
struct WithdrawnKeyCheck
{
  std::chrono::microseconds delay = Seconds(5); //!< from the accepted change on
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
