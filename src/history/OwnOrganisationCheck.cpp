#include "history/OwnOrganisationCheck.h"

#include "history/RunIndex.h"

namespace mustardwinch {

Verdict OwnOrganisationCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "runs for the key's organisation", 0, {} };
  const RunIndex runs(aHistory);
  for (const CallRecord& it : aHistory.calls) {
    for (const RunRecord* run : runs.Of(it.id)) {
      // Upstreams are told no organisation on routes open to all.
      if (run->organisation.empty()) {
        continue;
      }
      ++verdict.judged;
      if (it.keyHash.empty() || run->organisation != it.organisation) {
        verdict.offences.push_back("run " + run->run + ": call " + it.id + " of " +
                                   it.organisation + " ran for " + run->organisation);
      }
    }
  }
  return verdict;
}

} // namespace mustardwinch
