#include "history/KeyLeakCheck.h"

namespace mustardwinch {

Verdict KeyLeakCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "no key at an upstream", aHistory.runs.size(), {} };
  for (const RunRecord& it : aHistory.runs) {
    if (it.keyLeak) {
      verdict.offences.push_back("run " + it.run + ": a key arrived at " + it.upstream);
    }
  }
  return verdict;
}

} // namespace mustardwinch
