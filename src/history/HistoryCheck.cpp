#include "history/HistoryCheck.h"

namespace mustardwinch {

std::vector<HistoryCheck> MakeHistoryChecks(std::chrono::microseconds aDelay)
{
  return { WholeAnswerCheck{},
           NotRunCheck{},
           AtMostOnceCheck{},
           KeyLeakCheck{},
           OwnOrganisationCheck{},
           WithdrawnKeyCheck{ aDelay },
           OrganisationRateCheck{ aDelay },
           LeavingUpstreamCheck{ aDelay },
           FailureDomainCheck{ aDelay },
           ColdBoundCheck{ aDelay },
           PlannedStopCheck{},
           FloorCheck{} };
}

std::vector<Verdict> JudgeHistory(const std::vector<HistoryCheck>& aChecks, const History& aHistory)
{
  std::vector<Verdict> verdicts;
  verdicts.reserve(aChecks.size());
  for (const HistoryCheck& it : aChecks) {
    verdicts.push_back(
      std::visit([&aHistory](const auto& aCheck) { return aCheck.Judge(aHistory); }, it));
  }
  return verdicts;
}

} // namespace mustardwinch
