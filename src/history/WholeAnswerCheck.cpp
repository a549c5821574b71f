#include "history/WholeAnswerCheck.h"

#include "history/RunIndex.h"

#include <algorithm>

namespace mustardwinch {

namespace {

constexpr int kStatusOk = 200;

/** A killed upstream may have answered without writing it down. */
bool MayHaveAnswered(const RunRecord* aRun)
{
  return aRun->completed || aRun->endUs == 0;
}

bool IsAnsweredBy(const std::vector<const RunRecord*>& aRuns)
{
  return std::any_of(aRuns.begin(), aRuns.end(), MayHaveAnswered);
}

} // namespace

Verdict WholeAnswerCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "whole answer to own request", 0, {} };
  const RunIndex runs(aHistory);
  for (const CallRecord& it : aHistory.calls) {
    if (it.outcome != "answered" || it.status != kStatusOk) {
      continue;
    }
    ++verdict.judged;
    if (!it.whole || !it.hashOk) {
      verdict.offences.push_back("call " + it.id + ": the answer is not the one of this request");
    } else if (!IsAnsweredBy(runs.Of(it.id))) {
      verdict.offences.push_back("call " + it.id + ": answered, but no upstream answered it");
    }
  }
  return verdict;
}

} // namespace mustardwinch
