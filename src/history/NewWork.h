#pragma once

#include "history/ChangeIntervals.h"
#include "history/History.h"
#include "history/Verdict.h"

#include <chrono>

namespace mustardwinch {

/** A rule that runs must not begin while a resource that they belong to has a property. */
struct NewWorkRule
{
  const char* invariant;
  const char* kind;                //!< of the resource
  std::string RunRecord::*name;    //!< names the resource that a run belongs to
  ChangePredicate isClosed;        //!< whether the resource takes no new work
  std::chrono::microseconds delay; //!< from the accepted change on
};

/** Judges a rule on all runs. */
Verdict JudgeNewWork(const NewWorkRule& aRule, const History& aHistory);

} // namespace mustardwinch
