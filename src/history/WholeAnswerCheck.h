#pragma once

#include "history/History.h"
#include "history/Verdict.h"

namespace mustardwinch {

/** A caller that was given an answer got the whole answer to its own request, and an upstream ran
 * it. */
struct WholeAnswerCheck
{
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
