#pragma once

#include "history/AtMostOnceCheck.h"
#include "history/ColdBoundCheck.h"
#include "history/FailureDomainCheck.h"
#include "history/FloorCheck.h"
#include "history/KeyLeakCheck.h"
#include "history/LeavingUpstreamCheck.h"
#include "history/NotRunCheck.h"
#include "history/OrganisationRateCheck.h"
#include "history/OwnOrganisationCheck.h"
#include "history/PlannedStopCheck.h"
#include "history/Verdict.h"
#include "history/WholeAnswerCheck.h"
#include "history/WithdrawnKeyCheck.h"

#include <chrono>
#include <variant>
#include <vector>

namespace mustardwinch {

/** A check of one invariant against a history. */
using HistoryCheck = std::variant<WholeAnswerCheck,
                                  NotRunCheck,
                                  AtMostOnceCheck,
                                  KeyLeakCheck,
                                  OwnOrganisationCheck,
                                  WithdrawnKeyCheck,
                                  OrganisationRateCheck,
                                  LeavingUpstreamCheck,
                                  FailureDomainCheck,
                                  ColdBoundCheck,
                                  PlannedStopCheck,
                                  FloorCheck>;

/** All checks. @param aDelay time within which an accepted change must be in force everywhere */
std::vector<HistoryCheck> MakeHistoryChecks(std::chrono::microseconds aDelay);

/** The verdicts of the checks, in their order. */
std::vector<Verdict> JudgeHistory(const std::vector<HistoryCheck>& aChecks,
                                  const History& aHistory);

} // namespace mustardwinch
