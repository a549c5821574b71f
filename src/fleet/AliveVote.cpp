#include "fleet/AliveVote.h"

#include <algorithm>

namespace mustardwinch {

namespace {

/** With fewer VMs in a failure domain, the one that is cut off would have much of the vote. */
constexpr std::size_t kMinDomainVms = 5;

} // namespace

bool TellsVote(bool aSameDomain, std::size_t aPeerDomainVms)
{
  return aSameDomain || aPeerDomainVms < kMinDomainVms;
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
