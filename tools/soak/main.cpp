#include "mustardwinch/Event.h"
#include "soak/SoakRun.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <random>

DEFINE_uint64(seed, 0, "seed of the first run; 0: a fresh one");
DEFINE_uint32(runs, 1, "runs, with seeds that follow one another");
DEFINE_uint32(nodes, 8, "nodes of the fleet, 2 to 200");
DEFINE_uint32(seconds, 15, "seconds in which faults begin, 1 to 3600");
DEFINE_double(calls, 15, "calls a second at each node");
DEFINE_bool(wire, true, "upstreams have wire faults, and callers upload");
DEFINE_bool(restores, true, "the store comes back from copies that lack its last changes");
DEFINE_string(only, "", "name of the wire fault that takes the place of all others");
DEFINE_string(program, "", "the node's program; by default mwsidecar beside this one");
DEFINE_string(out, "", "folder for settings and logs; by default soak-SEED beside this program");

using namespace mustardwinch;
using namespace mustardwinch::soak;

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;
constexpr std::uint32_t kMostNodes = 200;
constexpr std::uint32_t kMostSeconds = 3'600;

/** The wire fault of a name; none if there is no such name. */
WireFault WireFaultOf(const std::string& aName)
{
  std::size_t i = 0;
  while (i < kWireFaults && aName != NameOf(static_cast<WireFault>(i))) {
    ++i;
  }
  return static_cast<WireFault>(i);
}

/** Plays one seed; false if a promise was broken or too few calls of the calm end were served. */
bool PlaySeed(const SoakOptions& aOptions)
{
  std::filesystem::remove_all(aOptions.paths.folder);
  std::filesystem::create_directories(aOptions.paths.folder);
  SoakRun run(aOptions);
  const SoakReport report = run.Play();
  std::printf("seed %llu: %zu of %zu calls served under faults, %zu of %zu after them, %zu runs, "
              "%zu violations\n",
              static_cast<unsigned long long>(aOptions.seed),
              report.faulty.served,
              report.faulty.sent,
              report.calm.served,
              report.calm.sent,
              report.runs,
              report.violations.size());
  for (const std::string& it : report.violations) {
    std::printf("  %s\n", it.c_str());
  }
  if (!report.violations.empty()) {
    std::printf("  logs: %s\n", aOptions.paths.folder.c_str());
  }
  std::fflush(stdout);
  return report.violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("Plays random faults on a fleet of real nodes and judges its promises.");
  gflags::SetVersionString(MW_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_nodes < 2 || FLAGS_nodes > kMostNodes || FLAGS_seconds == 0 ||
      FLAGS_seconds > kMostSeconds || FLAGS_calls <= 0 || FLAGS_runs == 0 || argc > 1 ||
      (!FLAGS_only.empty() && WireFaultOf(FLAGS_only) == WireFault::kNone)) {
    std::fprintf(stderr, "soak: a flag is out of its range, see --help\n");
    return kExitBadInput;
  }
  InitLogging("soak", "error");
  std::signal(SIGPIPE, SIG_IGN);
  const auto here = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  SoakOptions options;
  options.seed = FLAGS_seed != 0 ? FLAGS_seed : std::random_device{}();
  options.nodes = FLAGS_nodes;
  options.length = Seconds(FLAGS_seconds);
  options.callsPerSecond = FLAGS_calls;
  options.wire = FLAGS_wire;
  options.restores = FLAGS_restores;
  options.onlyWire = WireFaultOf(FLAGS_only);
  options.paths.program = FLAGS_program.empty() ? (here / "mwsidecar").string() : FLAGS_program;
  bool kept = true;
  for (std::uint32_t i = 0; i < FLAGS_runs; ++i, ++options.seed) {
    const auto folder = here / ("soak-" + std::to_string(options.seed));
    options.paths.folder = FLAGS_out.empty() ? folder.string() : FLAGS_out;
    kept = PlaySeed(options) && kept;
  }
  return kept ? 0 : kExitFailed;
}
