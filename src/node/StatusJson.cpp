#include "node/StatusJson.h"

#include "membership/FleetAgent.h"

#include <sstream>

namespace mustardwinch {
namespace {

const char* NameOf(SliceStatus::Term aTerm)
{
  switch (aTerm) {
    case SliceStatus::Term::kFull:
      return "full";
    case SliceStatus::Term::kTail:
      return "tail";
    case SliceStatus::Term::kNone:
      break;
  }
  return "none";
}

} // namespace

nlohmann::json FleetStatusJson(const FleetAgent& aFleet)
{
  nlohmann::json members = nlohmann::json::array();
  for (const VmIdentity& it : aFleet.LiveMembers()) {
    members.push_back(
      { { "vm", it.name }, { "failureDomain", it.failureDomain }, { "link", it.link.ToString() } });
  }
  const InForceReport inForce = aFleet.InForce();
  return {
    { "freshness", NameOf(aFleet.Current()) },
    { "watcher", aFleet.IsWatcher() },
    { "loaded", aFleet.IsLoaded() },
    { "members", members },
    { "configRevision", inForce.revision },
    { "lagging", inForce.lagging },
    { "unheard", inForce.unheard },
  };
}

nlohmann::json RateStatusJson(const RateStatus& aStatus)
{
  nlohmann::json slices = nlohmann::json::array();
  for (const SliceStatus& it : aStatus.slices) {
    slices.push_back({ { "shard", it.shard },
                       { "slice", it.slice },
                       { "term", NameOf(it.term) },
                       { "tails", it.tails },
                       { "termLeftMs", it.termLeft.count() } });
  }
  const RateCounters& counters = aStatus.counters;
  return {
    { "layoutAgreed", aStatus.layoutAgreed }, { "platformCalls", aStatus.platformCalls },
    { "admitted", counters.admitted },        { "exceeded", counters.exceeded },
    { "unconfirmed", counters.unconfirmed },  { "slices", slices },
  };
}

std::string RateMetricsText(const RateStatus& aStatus)
{
  const RateCounters& counters = aStatus.counters;
  std::ostringstream text;
  text << "mw_rate_admitted_total " << counters.admitted << "\n"
       << "mw_rate_exceeded_total " << counters.exceeded << "\n"
       << "mw_rate_unconfirmed_total " << counters.unconfirmed << "\n"
       << "mw_rate_grant_requests_total " << counters.requests << "\n"
       << "mw_rate_platform_calls_total " << aStatus.platformCalls << "\n";
  return text.str();
}

} // namespace mustardwinch
