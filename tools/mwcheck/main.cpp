#include "history/FleetMeasures.h"
#include "history/HistoryCheck.h"
#include "mustardwinch/Clock.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iomanip>
#include <iostream>

DEFINE_double(delay_s, 5, "time within which an accepted change must be in force, s");
DEFINE_uint32(most_lines, 10, "most offending lines to print for an invariant");
DEFINE_string(output, "text", "form of the verdicts: text or json");
DEFINE_bool(measures, true, "print the measures of the history");

using namespace mustardwinch;

namespace {

std::string WordOf(const Verdict& aVerdict)
{
  if (!aVerdict.Holds()) {
    return "BROKEN";
  }
  return aVerdict.judged == 0 ? "nothing to judge" : "holds";
}

nlohmann::json ToJson(const std::vector<Verdict>& aVerdicts)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const Verdict& it : aVerdicts) {
    rows.push_back({ { "invariant", it.invariant },
                     { "verdict", WordOf(it) },
                     { "judged", it.judged },
                     { "offences", it.offences } });
  }
  return rows;
}

void PrintVerdicts(const std::vector<Verdict>& aVerdicts)
{
  constexpr int kNameWidth = 46;
  constexpr int kWordWidth = 18;
  for (const Verdict& it : aVerdicts) {
    std::cout << std::left << std::setw(kNameWidth) << it.invariant << std::setw(kWordWidth)
              << WordOf(it) << it.judged << " judged, " << it.offences.size() << " offences\n";
    const std::size_t n = std::min<std::size_t>(it.offences.size(), FLAGS_most_lines);
    for (std::size_t i = 0; i < n; ++i) {
      std::cout << "  " << it.offences[i] << "\n";
    }
  }
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("Judges the invariants from history files: mwcheck [flags] FILE ...\n"
                          "Exits with 0 if all hold, 1 if one is broken, 2 if it cannot judge.");
  gflags::SetVersionString(MW_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc < 2 || (FLAGS_output != "text" && FLAGS_output != "json")) {
    std::cerr << "needs history files, and --output text or json\n";
    return 2;
  }
  const auto history = History::Read(std::vector<std::string>(argv + 1, argv + argc));
  if (!history) {
    std::cerr << history.Error().code.message() << ": " << history.Error().detail << "\n";
    return 2;
  }
  const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(
    std::chrono::duration<double>(FLAGS_delay_s));
  const auto verdicts = JudgeHistory(MakeHistoryChecks(delay), history.Value());
  const nlohmann::json measures =
    FLAGS_measures ? MeasureFleet(history.Value()) : nlohmann::json::object();
  if (FLAGS_output == "json") {
    std::cout << nlohmann::json{ { "verdicts", ToJson(verdicts) }, { "measures", measures } }.dump(
                   2)
              << "\n";
  } else {
    PrintVerdicts(verdicts);
    if (FLAGS_measures) {
      std::cout << measures.dump(2) << "\n";
    }
  }
  const bool holds = std::all_of(
    verdicts.begin(), verdicts.end(), [](const Verdict& aVerdict) { return aVerdict.Holds(); });
  return holds ? 0 : 1;
}
