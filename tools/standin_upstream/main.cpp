#include "mustardwinch/Address.h"
#include "mustardwinch/Event.h"
#include "standin_upstream/Announcer.h"
#include "standin_upstream/UpstreamServer.h"

#include <civetweb.h>
#include <curl/curl.h>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <pthread.h>
#include <random>
#include <thread>

DEFINE_string(listen, "127.0.0.1:25100", "address to serve on, a.b.c.d:port");
DEFINE_string(service, "booking", "name of the service");
DEFINE_string(failure_domain, "", "failure domain, written into the history");
DEFINE_string(node, "", "control address of the node beside it, a.b.c.d:port; empty: none");
DEFINE_uint32(slots, 7, "requests that it bears at once");
DEFINE_uint32(connections, 400, "connections that it serves at once");
DEFINE_uint32(service_time_ms, 20, "median service time, ms");
DEFINE_double(jitter, 0.2, "sigma of the log-normal service time");
DEFINE_uint32(cold_ms, 0, "time from a cold start until it bears all its slots, ms");
DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_string(history, "", "file for the history, JSON lines; empty: none");
DEFINE_string(key_hashes, "", "SHA-256 of the keys that must never arrive, hex, by commas");
DEFINE_uint32(drain_quiet_ms, 1500, "time without a new request that ends draining, ms");
DEFINE_uint32(drain_limit_ms, 60000, "longest time of draining, ms");

using namespace mustardwinch;
using namespace mustardwinch::standin;

namespace {

constexpr Milliseconds kPoll{ 10 };

std::string MakeInstance()
{
  std::random_device random;
  return std::to_string(random()) + std::to_string(random());
}

UpstreamServer::Settings MakeServerSettings(const std::string& aInstance)
{
  UpstreamServer::Settings settings;
  settings.listen = FLAGS_listen;
  settings.service = FLAGS_service;
  settings.failureDomain = FLAGS_failure_domain;
  settings.instance = aInstance;
  settings.connections = FLAGS_connections;
  settings.keyHashes = FLAGS_key_hashes;
  settings.load.slots = FLAGS_slots;
  settings.load.median = Milliseconds(FLAGS_service_time_ms);
  settings.load.jitter = FLAGS_jitter;
  settings.load.coldTime = Milliseconds(FLAGS_cold_ms);
  settings.load.seed = FLAGS_seed;
  return settings;
}

void Drain(Announcer& aAnnouncer, UpstreamServer& aServer)
{
  aServer.RecordLife("draining");
  aAnnouncer.SetState("draining");
  const auto limit = std::chrono::steady_clock::now() + Milliseconds(FLAGS_drain_limit_ms);
  const auto isQuiet = [&aServer] {
    return aServer.Running() == 0 && aServer.QuietFor() > Milliseconds(FLAGS_drain_quiet_ms);
  };
  while (!isQuiet() && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kPoll);
  }
  aAnnouncer.SetState("stopped");
  aServer.RecordLife("stopped");
}

/** SIGTERM and SIGINT are taken by sigwait in main, so that no thread is interrupted by them. */
sigset_t BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("Stands in for a fragile upstream in tests.");
  gflags::SetVersionString(MW_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  InitLogging("standin_upstream", "info");
  if (!Address::Parse(FLAGS_listen) || FLAGS_slots == 0) {
    std::cerr << "--listen must be a.b.c.d:port and --slots at least 1\n";
    return 2;
  }
  const sigset_t signals = BlockStopSignals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  mg_init_library(0);

  auto history = HistoryWriter::Make(FLAGS_history);
  if (!history) {
    std::cerr << "cannot open --history " << FLAGS_history << "\n";
    return 2;
  }
  const std::string instance = MakeInstance();
  auto server = UpstreamServer::Make(MakeServerSettings(instance), std::move(history));
  if (!server) {
    LogEvent(LogLevel::kError, Event::kListenFailed, { { "address", FLAGS_listen } });
    return 1;
  }
  Announcer announcer(
    { FLAGS_node, FLAGS_service, FLAGS_listen, instance, FLAGS_slots, FLAGS_connections },
    [&server] { return static_cast<int>(server->Running()); },
    [&server] { return server->LoadLag(); });
  server->RecordLife("ready");
  announcer.SetState("ready");
  LogEvent(LogLevel::kInfo, Event::kProcessStarted, { { "listen", FLAGS_listen } });

  int signal = 0;
  sigwait(&signals, &signal);
  LogEvent(LogLevel::kInfo, Event::kProcessStopping);
  Drain(announcer, *server);
  LogEvent(LogLevel::kInfo, Event::kProcessStopped);
  return 0;
}
