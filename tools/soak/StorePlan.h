#pragma once

#include "mustardwinch/Clock.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace mustardwinch::soak {

/** The store goes away, and comes back from a copy of the time shortly before. */
struct StoreStep
{
  Milliseconds copied{ 0 };    //!< when the copy is taken, from the begin of the faults
  Milliseconds away{ 0 };      //!< when the store goes away
  Milliseconds back{ 0 };      //!< when it comes back from the copy
  Milliseconds rewritten{ 0 }; //!< when the operator has written again what was lost
  bool silent = false;         //!< does not answer while away; otherwise refuses
  bool cuts = false;           //!< cuts waiting watches as it goes; otherwise they hear nothing

  auto operator<=>(const StoreStep&) const = default;
};

/** The losses of history of a run, in order of time: a function of the seed alone, drawn apart from
 * the other faults, so that these stay as they were for a seed. Some come close after another. */
std::vector<StoreStep> MakeStorePlan(std::uint64_t aSeed, Milliseconds aLength);

} // namespace mustardwinch::soak
