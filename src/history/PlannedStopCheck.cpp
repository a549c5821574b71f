#include "history/PlannedStopCheck.h"

namespace mustardwinch {

namespace {

bool IsCut(const CallRecord& aCall)
{
  return aCall.outcome == "unknown" || (aCall.status != 0 && !aCall.whole);
}

bool IsCut(const RunRecord& aRun)
{
  return !aRun.completed && !aRun.cancelled && !aRun.shed;
}

bool Overlaps(const StopRecord& aStop, const CallRecord& aCall)
{
  return aCall.node == aStop.address && aCall.sentUs <= aStop.endUs &&
         aCall.answeredUs >= aStop.beginUs;
}

bool Overlaps(const StopRecord& aStop, const RunRecord& aRun)
{
  // A run without an end was running when its process ended.
  return aRun.upstream == aStop.address && aRun.beginUs <= aStop.endUs &&
         (aRun.endUs == 0 || aRun.endUs >= aStop.beginUs);
}

/** The instance of an upstream that a stop ended: the last one to run anything before its end. */
std::string StoppedInstance(const StopRecord& aStop, const History& aHistory)
{
  std::string instance;
  for (const RunRecord& it : aHistory.runs) {
    if (it.upstream == aStop.address && it.beginUs <= aStop.endUs) {
      instance = it.instance;
    }
  }
  return instance;
}

void JudgeCalls(const StopRecord& aStop, const History& aHistory, Verdict& aVerdict)
{
  for (const CallRecord& it : aHistory.calls) {
    if (!Overlaps(aStop, it)) {
      continue;
    }
    ++aVerdict.judged;
    if (IsCut(it)) {
      aVerdict.offences.push_back("call " + it.id + ": cut by the stop of " + aStop.address);
    }
  }
}

void JudgeRuns(const StopRecord& aStop, const History& aHistory, Verdict& aVerdict)
{
  const std::string instance = StoppedInstance(aStop, aHistory);
  for (const RunRecord& it : aHistory.runs) {
    if (it.instance != instance || !Overlaps(aStop, it)) {
      continue;
    }
    ++aVerdict.judged;
    if (IsCut(it)) {
      aVerdict.offences.push_back("run " + it.run + ": cut by the stop of " + aStop.address);
    }
  }
}

} // namespace

Verdict PlannedStopCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "a planned stop cuts no request", 0, {} };
  for (const StopRecord& it : aHistory.stops) {
    JudgeCalls(it, aHistory, verdict);
    JudgeRuns(it, aHistory, verdict);
  }
  return verdict;
}

} // namespace mustardwinch
