#pragma once

#include "history/CallRecord.h"
#include "mwload/LoadPlan.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <vector>

namespace mustardwinch::load {

/**
 * Sums a run up: for each organisation and for all (organisation "*") the counts, the latencies in
 * milliseconds from the planned time on, and the answered requests a second.
 */
nlohmann::json MakeLoadReport(const LoadPlan& aPlan, std::vector<CallRecord> aCalls);

/** Prints the report as a table. */
void PrintLoadReport(const nlohmann::json& aReport, std::ostream& aStream);

} // namespace mustardwinch::load
