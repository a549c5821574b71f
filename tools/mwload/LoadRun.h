#pragma once

#include "history/CallRecord.h"
#include "history/HistoryWriter.h"
#include "mwload/LoadPlan.h"

#include <string>
#include <vector>

namespace mustardwinch::load {

/** Sends all calls of the plan at their times and answers what the callers saw. */
std::vector<CallRecord> RunLoad(const LoadPlan& aPlan,
                                const std::string& aRunId,
                                HistoryWriter& aHistory);

} // namespace mustardwinch::load
