#include "history/ColdBoundCheck.h"

namespace mustardwinch {

Verdict ColdBoundCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "cold start bound", 0, {} };
  for (const RunRecord& it : aHistory.runs) {
    if (!it.cold || (it.turnedCold && it.beginUs - it.coldSinceUs < detection.count())) {
      continue;
    }
    ++verdict.judged;
    if (it.concurrency > it.capacity) {
      verdict.offences.push_back("run " + it.run + ": " + std::to_string(it.concurrency) +
                                 " at once on a cold upstream that bears " +
                                 std::to_string(it.capacity));
    }
  }
  return verdict;
}

} // namespace mustardwinch
