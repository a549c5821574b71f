#include "mwload/LoadReport.h"

#include "history/LatencyHistogram.h"
#include "history/RateReplay.h"

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <map>
#include <ostream>

namespace mustardwinch::load {

namespace {

constexpr double kUsPerMs = 1000;
constexpr const char* kAll = "*";
constexpr const char* kCounts[] = { "sent",   "ok",  "refusedInRate", "refusedOverRate",
                                    "failed", "cut", "unconnected" };
constexpr const char* kLatencies[] = { "p50", "p90", "p99", "p99.9" };

struct Summary
{
  std::map<std::string, std::uint64_t> counts;
  std::map<std::string, std::uint64_t> codes;
  LatencyHistogram latency;
};

const char* KindOf(const CallRecord& aCall, bool aInRate)
{
  if (aCall.outcome == "unconnected") {
    return "unconnected";
  }
  if (aCall.outcome == "not-run") {
    return aInRate ? "refusedInRate" : "refusedOverRate";
  }
  if (!aCall.whole) {
    return "cut";
  }
  return aCall.hashOk ? "ok" : "failed";
}

void Add(Summary& aSummary, const CallRecord& aCall, bool aInRate)
{
  ++aSummary.counts["sent"];
  ++aSummary.counts[KindOf(aCall, aInRate)];
  if (aCall.code != 0) {
    ++aSummary.codes[std::to_string(aCall.code)];
  }
  if (aCall.hashOk) {
    aSummary.latency.Add(static_cast<double>(aCall.answeredUs - aCall.plannedUs) / kUsPerMs);
  }
}

nlohmann::json ToJson(const std::string& aName, const Summary& aSummary, double aSeconds)
{
  nlohmann::json json{ { "organisation", aName }, { "codes", aSummary.codes } };
  for (const char* it : kCounts) {
    const auto found = aSummary.counts.find(it);
    json[it] = found == aSummary.counts.end() ? 0 : found->second;
  }
  json["p50"] = aSummary.latency.Quantile(0.5);
  json["p90"] = aSummary.latency.Quantile(0.9);
  json["p99"] = aSummary.latency.Quantile(0.99);
  json["p99.9"] = aSummary.latency.Quantile(0.999);
  json["okPerSecond"] = static_cast<double>(aSummary.latency.Count()) / aSeconds;
  return json;
}

} // namespace

nlohmann::json MakeLoadReport(const LoadPlan& aPlan, std::vector<CallRecord> aCalls)
{
  std::sort(aCalls.begin(), aCalls.end(), [](const CallRecord& aLeft, const CallRecord& aRight) {
    return aLeft.sentUs < aRight.sentUs;
  });
  std::map<std::string, RateReplay> replays;
  for (const PlannedOrganisation& it : aPlan.organisations) {
    replays.emplace(it.name, RateReplay(it.limitRate, it.limitBurst));
  }
  std::map<std::string, Summary> summaries;
  for (const CallRecord& it : aCalls) {
    // A call that reached no node was refused by none.
    const bool inRate = it.outcome == "unconnected" ||
                        replays.at(it.organisation).Add(it.sentUs, it.outcome != "not-run");
    Add(summaries[it.organisation], it, inRate);
    Add(summaries[kAll], it, inRate);
  }
  nlohmann::json report = nlohmann::json::array();
  for (const auto& [name, summary] : summaries) {
    report.push_back(ToJson(name, summary, aPlan.seconds));
  }
  return report;
}

void PrintLoadReport(const nlohmann::json& aReport, std::ostream& aStream)
{
  constexpr int kNameWidth = 20;
  constexpr int kWidth = 16;
  aStream << std::left << std::setw(kNameWidth) << "organisation" << std::right;
  for (const char* it : kCounts) {
    aStream << std::setw(kWidth) << it;
  }
  for (const char* it : kLatencies) {
    aStream << std::setw(kWidth - 4) << it << " ms ";
  }
  aStream << std::setw(kWidth) << "ok/s"
          << "\n"
          << std::fixed << std::setprecision(1);
  std::string codes;
  for (const auto& row : aReport) {
    if (row["organisation"] == kAll) {
      codes = row["codes"].dump();
    }
    aStream << std::left << std::setw(kNameWidth) << row["organisation"].get<std::string>()
            << std::right;
    for (const char* it : kCounts) {
      aStream << std::setw(kWidth) << row[it].get<std::uint64_t>();
    }
    for (const char* it : kLatencies) {
      aStream << std::setw(kWidth) << row[it].get<double>();
    }
    aStream << std::setw(kWidth) << row["okPerSecond"].get<double>() << "\n";
  }
  aStream << "calls by result code: " << codes << "\n";
}

} // namespace mustardwinch::load
