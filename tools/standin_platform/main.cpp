#include "mustardwinch/Address.h"
#include "mustardwinch/Event.h"
#include "platform/PlatformServer.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

DEFINE_string(listen, "127.0.0.1:7100", "IP address and port to serve the object API on");
DEFINE_int32(threads,
             mustardwinch::PlatformServer::kDefaultThreads,
             "threads; each waiting watch holds one");
DEFINE_string(log_level, "info", "least level of log lines: debug, info, warn or error");

using namespace mustardwinch;

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitListen = 3;

/** Blocks until the process is asked to stop. The signals must be blocked in all threads. */
int WaitForStop(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
  return signal;
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("stand-in for the platform's object API, with switches for its faults\n"
                          "  standin_platform --listen 127.0.0.1:7100");
  gflags::SetVersionString(MW_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);

  const auto listen = Address::Parse(FLAGS_listen);
  if (!listen || FLAGS_threads <= 0 || !InitLogging("standin_platform", FLAGS_log_level)) {
    std::cerr << "--listen must be a.b.c.d:port, --threads at least 1 and --log_level one of "
                 "debug, info, warn, error\n";
    return kExitUsage;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const auto server =
    PlatformServer::Make(*listen, std::make_shared<MemoryPlatform>(), FLAGS_threads);
  if (server == nullptr) {
    LogEvent(LogLevel::kError, Event::kListenFailed, { { "address", FLAGS_listen } });
    return kExitListen;
  }
  LogEvent(LogLevel::kInfo, Event::kProcessStarted, { { "address", FLAGS_listen } });
  const int signal = WaitForStop(signals);
  LogEvent(LogLevel::kInfo, Event::kProcessStopping, { { "signal", std::to_string(signal) } });
  return EXIT_SUCCESS;
}
