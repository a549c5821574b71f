#include "base/BoundedLog.h"
#include "mustardwinch/Event.h"
#include "platform/PlatformAdapter.h"
#include "sidecar/SidecarNode.h"
#include "sidecar/SidecarSettingsReport.h"

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>
#include <malloc.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

DEFINE_string(settings,
              "",
              "YAML file with the node's settings, see docs/SETTINGS.md; by default the path in "
              "the environment variable MUSTARDWINCH_CONFIG");
DEFINE_bool(check, false, "only check the settings: 0 if they are good, else 2");

using namespace mustardwinch;

namespace {

constexpr int kExitFailed = 1;
constexpr int kMmapThreshold = 256 * 1'024; //!< bytes
constexpr int kExitBadInput = 2;

std::string SettingsPath()
{
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv("MUSTARDWINCH_CONFIG");
  return path != nullptr ? path : "";
}

void PrintProblems(const SidecarSettingsReport& aReport)
{
  for (const SettingsProblem& it : aReport.problems) {
    std::fprintf(stderr, "%s\n", it.ToString().c_str());
  }
}

/** Reads the settings again if the file has changed; invalid ones are logged and left out. */
class SettingsFile
{
public:
  explicit SettingsFile(std::string aPath)
    : mPath(std::move(aPath))
  {
    Changed();
  }

  std::optional<SidecarSettings> Reload()
  {
    if (!Changed()) {
      return std::nullopt;
    }
    const SidecarSettingsReport report = ReadSidecarSettings(mPath);
    if (!report.settings.IsOk()) {
      LogEvent(LogLevel::kError,
               Event::kSettingsRejected,
               { { "detail", report.settings.Error().detail } });
      return std::nullopt;
    }
    return report.settings.Value();
  }

private:
  bool Changed()
  {
    struct stat now
    {};
    if (::stat(mPath.c_str(), &now) != 0) {
      return false; // being replaced; looked at again in a second
    }
    const bool changed = now.st_mtim.tv_sec != mSeen.st_mtim.tv_sec ||
                         now.st_mtim.tv_nsec != mSeen.st_mtim.tv_nsec ||
                         now.st_ino != mSeen.st_ino || now.st_size != mSeen.st_size;
    mSeen = now;
    return changed;
  }

  const std::string mPath;
  struct stat mSeen
  {};
};

/** Runs the node until it is told to stop. @return the exit code */
int Run(const std::string& aPath, const SidecarSettings& aSettings)
{
  InitBoundedLogging("mwsidecar", aSettings.logLevel, aSettings.logLinesPerSecond);
  std::signal(SIGPIPE, SIG_IGN);
  // Keeps large bodies out of the heap, whose holes they would leave behind.
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  boost::asio::io_context loop(1);
  SettingsFile file(aPath);
  SidecarNode node(loop,
                   aSettings,
                   platform::MakePlatformBinding(loop, aSettings.platform),
                   [&file] { return file.Reload(); });
  if (!node.Start()) {
    return kExitFailed;
  }
  loop.run();
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("a node of the proxy fleet on the users' platform\n"
                          "  mwsidecar [--settings node.yaml] [--check]");
  gflags::SetVersionString(MW_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string path = SettingsPath();
  if (path.empty() || argc > 1) {
    std::fprintf(stderr,
                 "mwsidecar: a settings file is needed, and nothing but flags is allowed\n");
    return kExitBadInput;
  }
  const SidecarSettingsReport report = ReadSidecarSettings(path);
  if (!report.settings.IsOk()) {
    PrintProblems(report);
    return kExitBadInput;
  }
  if (FLAGS_check) {
    std::printf("%s: ok\n", path.c_str());
    return 0;
  }
  const int code = Run(path, report.settings.Value());
  FlushLog();
  // The logging library's destructor joins idle threads, which held a node that had nothing left to
  // do until the end of its grace period.
  std::quick_exit(code);
}
