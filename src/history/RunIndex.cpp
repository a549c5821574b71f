#include "history/RunIndex.h"

namespace mustardwinch {

RunIndex::RunIndex(const History& aHistory)
{
  for (const RunRecord& it : aHistory.runs) {
    if (!it.shed) {
      mRuns[it.id].push_back(&it);
    }
  }
}

const std::vector<const RunRecord*>& RunIndex::Of(const std::string& aId) const
{
  static const std::vector<const RunRecord*> kNone;
  const auto it = mRuns.find(aId);
  return it == mRuns.end() ? kNone : it->second;
}

} // namespace mustardwinch
