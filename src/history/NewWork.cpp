#include "history/NewWork.h"

#include <map>

namespace mustardwinch {

Verdict JudgeNewWork(const NewWorkRule& aRule, const History& aHistory)
{
  Verdict verdict{ aRule.invariant, 0, {} };
  std::map<std::string, std::vector<TimeInterval>> closed;
  for (const RunRecord& it : aHistory.runs) {
    const std::string& name = it.*aRule.name;
    if (!closed.contains(name)) {
      closed[name] = IntervalsWhere(aHistory.changes, aRule.kind, name, aRule.isClosed);
    }
    if (closed[name].empty()) {
      continue;
    }
    ++verdict.judged;
    if (!it.shed && IsInside(closed[name], it.beginUs, aRule.delay.count())) {
      verdict.offences.push_back("run " + it.run + ": call " + it.id + " began on " + it.upstream +
                                 " although " + name + " takes no new work");
    }
  }
  return verdict;
}

} // namespace mustardwinch
