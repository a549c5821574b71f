#include "history/NotRunCheck.h"

#include "history/RunIndex.h"

namespace mustardwinch {

Verdict NotRunCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "not run is true", 0, {} };
  const RunIndex runs(aHistory);
  for (const CallRecord& it : aHistory.calls) {
    if (it.outcome != "not-run") {
      continue;
    }
    ++verdict.judged;
    for (const RunRecord* run : runs.Of(it.id)) {
      verdict.offences.push_back("call " + it.id + ": told not run, ran as " + run->run + " at " +
                                 run->upstream);
    }
  }
  return verdict;
}

} // namespace mustardwinch
