#include "history/WithdrawnKeyCheck.h"

#include "history/ChangeIntervals.h"
#include "history/RunIndex.h"

#include <algorithm>
#include <map>
#include <utility>

namespace mustardwinch {

namespace {

bool HasKey(const ChangeRecord& aChange, const std::string& aKeyHash)
{
  if (aChange.deleted || !aChange.spec.contains("keyHashes")) {
    return false;
  }
  const auto& hashes = aChange.spec["keyHashes"];
  return std::find(hashes.begin(), hashes.end(), aKeyHash) != hashes.end();
}

/** When the organisation did not have the key any more. */
std::vector<TimeInterval> WithdrawnTimes(const std::vector<ChangeRecord>& aChanges,
                                         const std::string& aOrganisation,
                                         const std::string& aKeyHash)
{
  bool known = false;
  const auto isWithdrawn = [&](const ChangeRecord& aChange) {
    const bool has = HasKey(aChange, aKeyHash);
    known = known || has;
    return known && !has;
  };
  return IntervalsWhere(aChanges, "organisation", aOrganisation, isWithdrawn);
}

} // namespace

Verdict WithdrawnKeyCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "a withdrawn key stops", 0, {} };
  const RunIndex runs(aHistory);
  std::map<std::pair<std::string, std::string>, std::vector<TimeInterval>> withdrawn;
  for (const CallRecord& it : aHistory.calls) {
    const auto key = std::pair(it.organisation, it.keyHash);
    if (!withdrawn.contains(key)) {
      withdrawn[key] = WithdrawnTimes(aHistory.changes, it.organisation, it.keyHash);
    }
    const auto& times = withdrawn[key];
    verdict.judged += IsInside(times, it.sentUs, delay.count()) ? 1 : 0;
    for (const RunRecord* run : runs.Of(it.id)) {
      if (IsInside(times, run->beginUs, delay.count())) {
        verdict.offences.push_back("run " + run->run + ": call " + it.id +
                                   " began to run with a withdrawn key");
      }
    }
  }
  return verdict;
}

} // namespace mustardwinch
