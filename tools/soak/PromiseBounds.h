#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch::soak {

/** The bounds that the users' pages state, at the values of their sites. */
struct PromiseBounds
{
  Milliseconds contact{ 3'000 };     //!< a node counts as calm this long after a fault
  Milliseconds drain{ 2'000 };       //!< work may still reach a leaving upstream
  Milliseconds evacuate{ 5'000 };    //!< work may still reach an evacuated failure domain
  Milliseconds configApply{ 2'000 }; //!< an older configuration may still be in force
  Milliseconds grace{ 6'000 };       //!< from the stop signal to the kill
  Milliseconds lossSlack{ 200 };     //!< a request that crosses a close
  Milliseconds rateWindow{ 5'000 };
  double rateOver = 0.1;
  double rateSlack = 20;
  double coldOver = 1.5;
  double coldSlack = 5;
};

} // namespace mustardwinch::soak
