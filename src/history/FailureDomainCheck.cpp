#include "history/FailureDomainCheck.h"

#include "history/NewWork.h"

namespace mustardwinch {

namespace {

bool IsOut(const ChangeRecord& aChange)
{
  return !aChange.deleted && aChange.spec.value("state", "") == "out";
}

} // namespace

Verdict FailureDomainCheck::Judge(const History& aHistory) const
{
  return JudgeNewWork({ "no new work in a failure domain that is out",
                        "failuredomain",
                        &RunRecord::failureDomain,
                        IsOut,
                        delay },
                      aHistory);
}

} // namespace mustardwinch
