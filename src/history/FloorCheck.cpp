#include "history/FloorCheck.h"

#include "history/ChangeIntervals.h"

#include <algorithm>
#include <map>

namespace mustardwinch {

namespace {

constexpr std::int64_t kUsPerMs = 1000;

struct UpstreamNow
{
  std::string failureDomain;
  std::string state;
  std::int64_t warmUs = 0;
  std::uint32_t slots = 0;
};

std::map<std::string, UpstreamNow> UpstreamsAt(const History& aHistory,
                                               const std::string& aService,
                                               std::int64_t aTimeUs)
{
  std::map<std::string, UpstreamNow> upstreams;
  for (const LifeRecord& it : aHistory.lives) {
    if (it.service == aService && it.atUs <= aTimeUs) {
      upstreams[it.upstream] = {
        it.failureDomain, it.state, it.atUs + it.coldMs * kUsPerMs, it.slots
      };
    }
  }
  return upstreams;
}

bool TakesWork(const History& aHistory,
               const std::string& aUpstream,
               const UpstreamNow& aNow,
               std::int64_t aTimeUs)
{
  const auto* leaving = ChangeInForce(aHistory.changes, "leaving", aUpstream, aTimeUs);
  const auto* domain =
    ChangeInForce(aHistory.changes, "failuredomain", aNow.failureDomain, aTimeUs);
  const bool isLeaving = leaving != nullptr && !leaving->deleted;
  const bool isOut =
    domain != nullptr && !domain->deleted && domain->spec.value("state", "") == "out";
  const bool isWarm = aNow.state == "ready" && aNow.warmUs <= aTimeUs;
  return isWarm && !isLeaving && !isOut;
}

std::uint32_t FloorAt(const History& aHistory, const EjectionRecord& aEjection)
{
  const auto* floor = ChangeInForce(aHistory.changes, "floor", aEjection.service, aEjection.atUs);
  return floor == nullptr || floor->deleted ? 0 : floor->spec.value("slots", 0U);
}

std::uint32_t HealthySlots(const History& aHistory, const EjectionRecord& aEjection)
{
  std::uint32_t slots = 0;
  for (const auto& [name, now] : UpstreamsAt(aHistory, aEjection.service, aEjection.atUs)) {
    const auto& ejected = aEjection.ejected;
    const bool isEjected = std::find(ejected.begin(), ejected.end(), name) != ejected.end();
    if (!isEjected && TakesWork(aHistory, name, now, aEjection.atUs)) {
      slots += now.slots;
    }
  }
  return slots;
}

} // namespace

Verdict FloorCheck::Judge(const History& aHistory) const
{
  Verdict verdict{ "ejection keeps the floor", 0, {} };
  std::map<std::string, std::size_t> sizes;
  for (const EjectionRecord& it : aHistory.ejections) {
    // Taking an upstream back cannot break the floor, even if others were lost meanwhile.
    const bool grew = it.ejected.size() > sizes[it.service];
    sizes[it.service] = it.ejected.size();
    if (!grew) {
      continue;
    }
    ++verdict.judged;
    const std::uint32_t healthy = HealthySlots(aHistory, it);
    const std::uint32_t floor = FloorAt(aHistory, it);
    if (healthy < floor) {
      verdict.offences.push_back("ejection at " + std::to_string(it.atUs) + ": " + it.service +
                                 " keeps " + std::to_string(healthy) + " healthy slots, floor " +
                                 std::to_string(floor));
    }
  }
  return verdict;
}

} // namespace mustardwinch
