#include "history/LeavingUpstreamCheck.h"

#include "history/NewWork.h"

namespace mustardwinch {

namespace {

bool IsLeaving(const ChangeRecord& aChange)
{
  return !aChange.deleted;
}

} // namespace

Verdict LeavingUpstreamCheck::Judge(const History& aHistory) const
{
  return JudgeNewWork(
    { "no new work on a leaving upstream", "leaving", &RunRecord::upstream, IsLeaving, delay },
    aHistory);
}

} // namespace mustardwinch
