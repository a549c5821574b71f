#pragma once

#include "history/CallRecord.h"
#include "history/ChangeRecord.h"
#include "history/EjectionRecord.h"
#include "history/FaultRecord.h"
#include "history/LifeRecord.h"
#include "history/RunRecord.h"
#include "history/StopRecord.h"
#include "mustardwinch/Result.h"

#include <string>
#include <vector>

namespace mustardwinch {

/** All that callers, upstreams and operators wrote down, each list in order of time. */
struct History
{
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs; //!< one of each run, as it was written last
  std::vector<ChangeRecord> changes;
  std::vector<StopRecord> stops;
  std::vector<LifeRecord> lives;
  std::vector<EjectionRecord> ejections;
  std::vector<FaultRecord> faults;

  bool operator==(const History&) const = default;

  /**
   * Reads history files in any order. A last line that a killed process left unfinished is passed
   * over; any other malformed line is kHistoryInvalid, a missing file kHistoryUnreadable.
   */
  static Result<History> Read(const std::vector<std::string>& aFiles);
};

} // namespace mustardwinch
