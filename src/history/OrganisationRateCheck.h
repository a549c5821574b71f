#pragma once

#include "history/History.h"
#include "history/Verdict.h"
#include "mustardwinch/Clock.h"

namespace mustardwinch {

/**
 * No organisation was admitted more than its rate and burst across all nodes, over any window. When
 * a request was admitted is known only to lie between its sending and its first run; the longest
 * such time of the organisation is granted to every window, so that what is found is certain. Calls
 * that waited over a second, as on a paused node, are not counted.
 */
struct OrganisationRateCheck
{
  std::chrono::microseconds delay = Seconds(5); //!< in which a lowered limit comes into force
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
