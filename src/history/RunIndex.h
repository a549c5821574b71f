#pragma once

#include "history/History.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace mustardwinch {

/** The runs of each request. Requests that an upstream shed did not run. */
class RunIndex
{
public:
  /** @param aHistory must outlive the index */
  explicit RunIndex(const History& aHistory);

  /** The runs with this request id. */
  const std::vector<const RunRecord*>& Of(const std::string& aId) const;

private:
  std::unordered_map<std::string, std::vector<const RunRecord*>> mRuns;
};

} // namespace mustardwinch
