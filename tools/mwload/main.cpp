#include "mustardwinch/Address.h"
#include "mwload/LoadPlan.h"
#include "mwload/LoadReport.h"
#include "mwload/LoadRun.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <csignal>
#include <ctime>
#include <iostream>
#include <sstream>
#include <unistd.h>

DEFINE_string(plan, "", "YAML file with organisations and routes; see docs/HISTORY.md");
DEFINE_string(nodes, "", "addresses of nodes, a.b.c.d:port, by commas; empty: as the plan says");
DEFINE_double(seconds, 0, "length of the load, s; 0: as the plan says");
DEFINE_uint64(seed, 0, "seed of arrivals and mix; 0: as the plan says");
DEFINE_string(history, "", "file for the history, JSON lines; empty: none");
DEFINE_string(output, "text", "form of the report: text or json");

using namespace mustardwinch;
using namespace mustardwinch::load;

namespace {

std::vector<std::string> SplitByCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string it; std::getline(stream, it, ',');) {
    parts.push_back(it);
  }
  return parts;
}

void OverrideByFlags(LoadPlan& aPlan)
{
  if (!FLAGS_nodes.empty()) {
    aPlan.nodes = SplitByCommas(FLAGS_nodes);
  }
  if (FLAGS_seconds > 0) {
    aPlan.seconds = FLAGS_seconds;
  }
  if (FLAGS_seed != 0) {
    aPlan.seed = FLAGS_seed;
  }
}

bool HasValidNodes(const LoadPlan& aPlan)
{
  for (const std::string& it : aPlan.nodes) {
    if (!Address::Parse(it)) {
      return false;
    }
  }
  return !aPlan.nodes.empty();
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("Calls nodes as organisations do and writes down what came back.");
  gflags::SetVersionString(MW_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    std::cerr << "--output must be text or json\n";
    return 2;
  }
  std::string error;
  auto plan = LoadPlan::Read(FLAGS_plan, error);
  if (!plan) {
    std::cerr << "--plan " << FLAGS_plan << ": " << error << "\n";
    return 2;
  }
  OverrideByFlags(*plan);
  if (!HasValidNodes(*plan)) {
    std::cerr << "nodes must be one or more a.b.c.d:port\n";
    return 2;
  }
  const auto history = HistoryWriter::Make(FLAGS_history);
  if (!history) {
    std::cerr << "cannot open --history " << FLAGS_history << "\n";
    return 2;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);

  // Time and process make the ids of this run unlike those of any other.
  const std::string runId = std::to_string(std::time(nullptr)) + "-" + std::to_string(getpid());
  const auto report = MakeLoadReport(*plan, RunLoad(*plan, runId, *history));
  if (FLAGS_output == "json") {
    std::cout << report.dump(2) << "\n";
  } else {
    PrintLoadReport(report, std::cout);
  }
  return 0;
}
