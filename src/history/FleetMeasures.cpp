#include "history/FleetMeasures.h"

#include "history/ChangeIntervals.h"
#include "history/LatencyHistogram.h"
#include "history/RateReplay.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace mustardwinch {

namespace {

constexpr double kUsPerMs = 1000;
constexpr std::int64_t kMoveUs = 30'000'000; // time after a move that counts as part of it
// An upstream that had a fault this shortly before is not ejected wrongly.
constexpr std::int64_t kFaultTailUs = 10'000'000;

/** The calls of a group that were inside their rate, and how they fared. */
struct Service
{
  std::uint64_t inRate = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  LatencyHistogram latency;

  void Add(const CallRecord& aCall)
  {
    ++inRate;
    refused += aCall.outcome == "not-run" ? 1 : 0;
    if (aCall.hashOk) {
      ++good;
      latency.Add(static_cast<double>(aCall.answeredUs - aCall.sentUs) / kUsPerMs);
    }
  }

  double GoodShare() const
  {
    return inRate == 0 ? 1 : static_cast<double>(good) / static_cast<double>(inRate);
  }

  nlohmann::json ToJson() const
  {
    return { { "inRate", inRate },
             { "goodShare", GoodShare() },
             { "refusedInRate", refused },
             { "p50Ms", latency.Quantile(0.5) },
             { "p99Ms", latency.Quantile(0.99) } };
  }
};

RateReplay MakeReplay(const History& aHistory, const CallRecord& aCall)
{
  const auto* change =
    ChangeInForce(aHistory.changes, "organisation", aCall.organisation, aCall.sentUs);
  if (change == nullptr || change->deleted) {
    return { 0, 1 };
  }
  return { change->spec.value("ratePerSecond", 0.0), change->spec.value("burst", 1.0) };
}

/** Calls that came inside the rate of their organisation, by the first rate that it had. */
std::vector<const CallRecord*> CallsInRate(const History& aHistory)
{
  std::map<std::string, RateReplay> replays;
  std::vector<const CallRecord*> calls;
  for (const CallRecord& it : aHistory.calls) {
    auto [replay, isNew] = replays.try_emplace(it.organisation, MakeReplay(aHistory, it));
    // A call that reached no node was refused by none.
    if (it.outcome == "unconnected" || replay->second.Add(it.sentUs, it.outcome != "not-run")) {
      calls.push_back(&it);
    }
  }
  return calls;
}

std::optional<std::int64_t> FirstEjection(const History& aHistory, const FaultRecord& aFault)
{
  for (const EjectionRecord& it : aHistory.ejections) {
    const bool has =
      std::find(it.ejected.begin(), it.ejected.end(), aFault.upstream) != it.ejected.end();
    if (has && it.atUs >= aFault.beginUs) {
      return it.atUs;
    }
  }
  return std::nullopt;
}

nlohmann::json MeasureDetection(const History& aHistory)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const FaultRecord& it : aHistory.faults) {
    nlohmann::json row{ { "upstream", it.upstream }, { "kind", it.kind }, { "ms", nullptr } };
    if (const auto at = FirstEjection(aHistory, it)) {
      row["ms"] = static_cast<double>(*at - it.beginUs) / kUsPerMs;
    }
    rows.push_back(row);
  }
  return rows;
}

bool HadFault(const History& aHistory, const std::string& aUpstream, std::int64_t aTimeUs)
{
  return std::any_of(
    aHistory.faults.begin(), aHistory.faults.end(), [&](const FaultRecord& aFault) {
      const bool lasts = aFault.endUs == 0 || aTimeUs < aFault.endUs + kFaultTailUs;
      return aFault.upstream == aUpstream && aFault.beginUs <= aTimeUs && lasts;
    });
}

std::uint64_t CountFalseEjections(const History& aHistory)
{
  std::uint64_t count = 0;
  std::map<std::string, std::set<std::string>> before;
  for (const EjectionRecord& it : aHistory.ejections) {
    std::set<std::string> now(it.ejected.begin(), it.ejected.end());
    for (const std::string& upstream : now) {
      const bool isNew = !before[it.service].contains(upstream);
      count += isNew && !HadFault(aHistory, upstream, it.atUs) ? 1 : 0;
    }
    before[it.service] = std::move(now);
  }
  return count;
}

nlohmann::json MeasureMoves(const History& aHistory, const std::vector<const CallRecord*>& aCalls)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const ChangeRecord& change : aHistory.changes) {
    if (change.kind != "failuredomain") {
      continue;
    }
    Service service;
    for (const CallRecord* it : aCalls) {
      if (it->sentUs >= change.acceptedUs && it->sentUs < change.acceptedUs + kMoveUs) {
        service.Add(*it);
      }
    }
    nlohmann::json row = service.ToJson();
    row["failureDomain"] = change.name;
    row["state"] = change.deleted ? "deleted" : change.spec.value("state", "");
    rows.push_back(row);
  }
  return rows;
}

nlohmann::json FindWorstServed(const std::map<std::string, Service>& aServices)
{
  const auto worst =
    std::min_element(aServices.begin(), aServices.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.GoodShare() < aRight.second.GoodShare();
    });
  if (worst == aServices.end()) {
    return nullptr;
  }
  nlohmann::json row = worst->second.ToJson();
  row["organisation"] = worst->first;
  return row;
}

} // namespace

nlohmann::json MeasureFleet(const History& aHistory)
{
  const auto calls = CallsInRate(aHistory);
  std::map<std::string, Service> services;
  Service all;
  for (const CallRecord* it : calls) {
    services[it->organisation].Add(*it);
    all.Add(*it);
  }
  return { { "detection", MeasureDetection(aHistory) },
           { "falseEjections", CountFalseEjections(aHistory) },
           { "worstServed", FindWorstServed(services) },
           { "wrongfulRefusals", { { "refused", all.refused }, { "inRate", all.inRate } } },
           { "moves", MeasureMoves(aHistory, calls) },
           { "all", all.ToJson() } };
}

} // namespace mustardwinch
