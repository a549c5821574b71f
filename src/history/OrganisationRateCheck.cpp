#include "history/OrganisationRateCheck.h"

#include "history/RateHistoryCheck.h"
#include "history/RunIndex.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace mustardwinch {

namespace {

constexpr double kUsPerSecond = 1e6;
// A call that waited longer than this before it ran is not counted, so as not to widen the windows.
constexpr std::int64_t kLongWaitUs = 1'000'000;

/** A limit and when at the latest some node may still go by it. */
struct Limit
{
  std::int64_t fromUs = 0;
  std::int64_t untilUs = 0;
  double rate = 0;
  double burst = 0;
};

/** The admitted calls of an organisation. */
struct Admissions
{
  std::vector<TimePoint> sent;
  std::int64_t longestUs = 0; //!< from the sending to the first run
};

TimePoint ToTime(std::int64_t aUs)
{
  return TimePoint(std::chrono::microseconds(aUs));
}

std::vector<Limit> LimitsOf(const std::vector<ChangeRecord>& aChanges,
                            const std::string& aOrganisation,
                            std::int64_t aDelayUs)
{
  std::vector<Limit> limits;
  for (const ChangeRecord& it : aChanges) {
    if (it.kind != "organisation" || it.name != aOrganisation) {
      continue;
    }
    if (!limits.empty()) {
      limits.back().untilUs = it.acceptedUs + aDelayUs;
    }
    const auto& spec = it.spec;
    limits.push_back({ it.acceptedUs,
                       std::numeric_limits<std::int64_t>::max(),
                       it.deleted ? 0 : spec.value("ratePerSecond", 0.0),
                       it.deleted ? 0 : spec.value("burst", 0.0) });
  }
  return limits;
}

/** The most that any limit in force allows, from each time on at which that changes. */
std::vector<RateLimitChange> MostAllowed(const std::vector<Limit>& aLimits)
{
  std::set<std::int64_t> times;
  for (const Limit& it : aLimits) {
    times.insert(it.fromUs);
    times.insert(it.untilUs);
  }
  times.erase(std::numeric_limits<std::int64_t>::max());
  std::vector<RateLimitChange> changes;
  for (const std::int64_t time : times) {
    RateLimitChange change{ ToTime(time), 0, 0 };
    for (const Limit& it : aLimits) {
      if (time >= it.fromUs && time < it.untilUs) {
        change.ratePerSecond = std::max(change.ratePerSecond, it.rate);
        change.burst = std::max(change.burst, it.burst);
      }
    }
    changes.push_back(change);
  }
  return changes;
}

std::map<std::string, Admissions> AdmissionsOf(const History& aHistory)
{
  std::map<std::string, Admissions> admissions;
  const RunIndex runs(aHistory);
  for (const CallRecord& it : aHistory.calls) {
    const auto& ran = runs.Of(it.id);
    // Routes open to all are not counted against a rate.
    if (ran.empty() || ran.front()->organisation.empty()) {
      continue;
    }
    const std::int64_t waitUs = ran.front()->beginUs - it.sentUs;
    if (waitUs > kLongWaitUs) {
      continue;
    }
    Admissions& of = admissions[ran.front()->organisation];
    of.sent.push_back(ToTime(it.sentUs));
    of.longestUs = std::max(of.longestUs, waitUs);
  }
  return admissions;
}

} // namespace

Verdict OrganisationRateCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "rate and burst across all VMs", 0, {} };
  for (auto& [organisation, admitted] : AdmissionsOf(aHistory)) {
    const auto limits = LimitsOf(aHistory.changes, organisation, delay.count());
    if (limits.empty()) {
      continue;
    }
    verdict.judged += admitted.sent.size();
    std::vector<RateLimitChange> changes = MostAllowed(limits);
    const double slackSeconds = static_cast<double>(admitted.longestUs) / kUsPerSecond;
    for (RateLimitChange& it : changes) {
      it.burst += it.ratePerSecond * slackSeconds;
    }
    if (const auto found = RateHistoryCheck(changes).Check(admitted.sent)) {
      const std::chrono::duration<double> window = found->to - found->from;
      verdict.offences.push_back(organisation + ": " + std::to_string(found->admitted) +
                                 " admitted in " + std::to_string(window.count()) + " s, allowed " +
                                 std::to_string(found->allowed));
    }
  }
  return verdict;
}

} // namespace mustardwinch
