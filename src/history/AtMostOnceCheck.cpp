#include "history/AtMostOnceCheck.h"

#include "history/RunIndex.h"

namespace mustardwinch {

Verdict AtMostOnceCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "non-idempotent at most once", 0, {} };
  const RunIndex runs(aHistory);
  for (const CallRecord& it : aHistory.calls) {
    if (it.idempotent) {
      continue;
    }
    ++verdict.judged;
    const std::size_t n = runs.Of(it.id).size();
    if (n > 1) {
      verdict.offences.push_back("call " + it.id + ": ran " + std::to_string(n) + " times");
    }
  }
  return verdict;
}

} // namespace mustardwinch
