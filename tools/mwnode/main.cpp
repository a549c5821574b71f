#include "mustardwinch/Event.h"
#include "node/Node.h"
#include "settings/NodeSettingsReport.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>

DEFINE_string(settings, "", "YAML file with the node's settings, see docs/SETTINGS.md");
DEFINE_bool(check, false, "only check the settings: 0 if they are good, else 2");

using namespace mustardwinch;

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

/** Blocks the signals of a planned stop in all threads that start afterwards. */
sigset_t BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void PrintProblems(const NodeSettingsReport& aReport)
{
  if (aReport.problems.empty()) {
    std::fprintf(stderr, "mwnode: %s\n", aReport.settings.Error().detail.c_str());
  }
  for (const SettingsProblem& it : aReport.problems) {
    std::fprintf(stderr, "%s\n", it.ToString().c_str());
  }
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("the node of the proxy fleet: ingress, gate and member in one process\n"
                          "  mwnode --settings node.yaml [--check]");
  gflags::SetVersionString(MW_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty() || argc > 1) {
    std::fprintf(stderr, "mwnode: --settings FILE is needed, and nothing but flags is allowed\n");
    return kExitBadInput;
  }
  const NodeSettingsReport report = ReadNodeSettings(FLAGS_settings);
  if (!report.settings.IsOk()) {
    PrintProblems(report);
    return kExitBadInput;
  }
  if (FLAGS_check) {
    std::printf("%s: ok\n", FLAGS_settings.c_str());
    return 0;
  }
  const NodeSettings& settings = report.settings.Value();
  InitLogging("mwnode", settings.logLevel);
  const sigset_t signals = BlockStopSignals();
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const std::unique_ptr<Node> node = Node::Make(settings);
  if (!node) {
    return kExitFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  node->Stop();
  return 0;
}
