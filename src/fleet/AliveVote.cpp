#include "fleet/AliveVote.h"

#include "quota/RateOwner.h"

#include <algorithm>

namespace mustardwinch {

namespace {

/** Voters of the whole fleet. A few that are cut off or restart must not decide. */
constexpr std::size_t kVoters = 24;

} // namespace

std::set<std::string> ChooseVoters(const VmsByDomain& aVms)
{
  std::set<std::string> voters;
  if (aVms.empty()) {
    return voters;
  }
  const std::size_t perDomain = (kVoters + aVms.size() - 1) / aVms.size();
  for (const auto& [domain, vms] : aVms) {
    std::vector<std::string> ranked = vms;
    SortByRank("vote", ranked);
    const std::size_t n = std::min(perDomain, ranked.size());
    voters.insert(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n));
  }
  return voters;
}

std::vector<std::string> AgreeOnAlive(const std::vector<std::string>& aHeard,
                                      const std::vector<std::string>& aVoters,
                                      const std::vector<std::string>& aUnheard,
                                      const UnheardReports& aReports)
{
  std::vector<std::string> alive = aHeard;
  for (const std::string& it : aUnheard) {
    const auto missing =
      std::count_if(aVoters.begin(), aVoters.end(), [&](const std::string& aVoter) {
        const auto report = aReports.find(aVoter);
        return report != aReports.end() && report->second.count(it) != 0;
      });
    if (2 * static_cast<std::size_t>(missing) < aVoters.size()) {
      alive.push_back(it);
    }
  }
  std::sort(alive.begin(), alive.end());
  return alive;
}

} // namespace mustardwinch
