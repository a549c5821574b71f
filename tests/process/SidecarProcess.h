#pragma once

#include "FreeAddress.h"
#include "http/HttpText.h"
#include "sidecar/TestUpstream.h"
#include "soak/ChildProcess.h"
#include "soak/StandinStore.h"
#include "soak/Waiting.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mustardwinch::test {

/** Limits that make a small crowd enough. */
constexpr std::size_t kProcessMemoryMb = 64;
constexpr std::size_t kProcessDescriptors = 400;
constexpr std::size_t kProcessBodyBytes = 4U << 20;

/** One mwsidecar process with small limits, beside a stand-in store and an upstream that run on a
 * thread of the test. */
class SidecarProcess
{
public:
  SidecarProcess()
  {
    Configure();
    mThread = std::thread([this] { mLoop.run(); });
    WriteSettings();
    mProcess = soak::ChildProcess::Start(
      MW_BIN_DIR "/mwsidecar", { "--settings=" + mFile + ".yaml" }, mFile + ".log");
    REQUIRE(mProcess);
    REQUIRE(soak::AwaitTrue([this] { return Status("GET", readiness, "/api/ready") == 200; },
                            Seconds(20)));
    REQUIRE(Announce() == 200);
    REQUIRE(soak::AwaitTrue([this] { return ServesOrdinaryRequest(); }, Seconds(20)));
  }

  ~SidecarProcess()
  {
    mProcess.reset();
    boost::asio::post(mLoop, [this] { mLoop.stop(); });
    mThread.join();
    std::error_code ec;
    std::filesystem::remove(mFile + ".yaml", ec);
    std::filesystem::remove(mFile + ".log", ec);
  }

  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  bool IsAlive() { return !mProcess->AwaitExit(Milliseconds(0)).has_value(); }
  std::size_t PeakMemoryKb() const { return mProcess->PeakMemoryKb(); }

  /** Open descriptors of the process. */
  std::size_t Descriptors() const
  {
    std::error_code ec;
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(mProcess->Id()) + "/fd",
                                                  ec);
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }

  bool ServesOrdinaryRequest()
  {
    return Status("GET", callers, "/safe/x", "", Headers("ordinary")) == 200;
  }

  static std::string Headers(const std::string& aId)
  {
    return "X-Request-Id: " + aId + std::to_string(++sRequests) +
           "\r\nX-Request-Timeout-Ms: 5000\r\nX-Api-Key: k-org\r\n";
  }

  /** Sends a request and reads the status of its answer; 0 if there is none within 8 s. */
  unsigned Status(const std::string& aMethod,
                  const Address& aTo,
                  const std::string& aTarget,
                  const std::string& aBody = "",
                  const std::string& aHeaders = "")
  {
    std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: shop.example\r\n" + aHeaders;
    text += "Connection: close\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    text += aBody;
    try {
      boost::asio::io_context loop(1);
      boost::asio::ip::tcp::socket socket(loop);
      socket.connect({ boost::asio::ip::address_v4(aTo.ip), aTo.port });
      const timeval limit{ 8, 0 };
      setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
      setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
      boost::asio::write(socket, boost::asio::buffer(text));
      char head[12] = {};
      boost::asio::read(socket, boost::asio::buffer(head));
      return static_cast<unsigned>(std::atoi(head + 9));
    } catch (const std::exception&) { // refused or closed
      return 0;
    }
  }

  Address callers = FreeAddress();
  Address readiness = FreeAddress();
  Address control = FreeAddress();
  Address metrics = FreeAddress();

private:
  void Configure()
  {
    const std::string text = R"({
      "version": "r3", "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": )" +
                             std::to_string(kProcessBodyBytes) + R"(,
      "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
      "tenants": [{"name": "org", "apiKeys": ["k-org"], "ratePerS": 0}],
      "listeners": [{"host": "shop.example", "rules": [
        {"name": "safe", "kind": "safe", "targetLatencyMs": 1000, "match": {"pathPrefix": "/safe/"},
         "action": {"service": "booking", "timeoutMs": 5000, "maxAttempts": 2}},
        {"name": "unsafe", "kind": "unsafe", "targetLatencyMs": 1000,
         "match": {"pathPrefix": "/unsafe/"},
         "action": {"service": "booking", "timeoutMs": 5000, "maxAttempts": 2}}]}],
      "clusters": [{"name": "booking", "healthPath": "/h", "maxConnections": 100}]})";
    REQUIRE(mStore.IsListening());
    mStore.Put("config", "main", nlohmann::json::parse(text));
    mUpstream.answerBytes = kAnswerBytes;
  }

  void WriteSettings() const
  {
    std::ofstream file(mFile + ".yaml");
    file << "vm_name: vm-0\nregion: r\nfailure_domain: a\nservice: booking\nlisten:\n"
         << "  link: " << FreeAddress().ToString() << "\n  callers: " << callers.ToString()
         << "\n  readiness: " << readiness.ToString() << "\n  control: " << control.ToString()
         << "\n  metrics: " << metrics.ToString() << "\nplatform: " << mStoreAddress.ToString()
         << "\nresources: { memory_mb: " << kProcessMemoryMb
         << ", descriptors: " << kProcessDescriptors << " }\n";
  }

  unsigned Announce()
  {
    const nlohmann::json body{
      { "address", mUpstream.address.ToString() },
      { "born", 1'000 },
      { "info",
        { { "service", "booking" }, { "version", "v" }, { "zone", "a" }, { "slots", 64 } } },
      { "status", { { "state", "ready" }, { "seq", 1 }, { "warmupLeftMs", 0 } } },
    };
    return Status("POST", control, "/api/instances/i-0/heartbeat", body.dump());
  }

  static constexpr std::size_t kAnswerBytes = 1U << 20;
  static inline int sRequests = 0;

  const std::string mFile =
    (std::filesystem::temp_directory_path() /
     ("mwsidecar-limits-" + std::to_string(getpid()) + "-" + std::to_string(FreeAddress().port)))
      .string();
  boost::asio::io_context mLoop{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork{
    mLoop.get_executor()
  };
  Clock mClock;
  const Address mStoreAddress = FreeAddress();
  soak::StandinStore mStore{ mLoop, mClock, mStoreAddress };
  TestUpstream mUpstream{ mLoop, mClock, "i-0" };
  std::thread mThread;
  std::unique_ptr<soak::ChildProcess> mProcess;
};

} // namespace mustardwinch::test
