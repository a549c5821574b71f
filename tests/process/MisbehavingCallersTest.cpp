#include "SidecarProcess.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <list>

using namespace mustardwinch;
using namespace mustardwinch::test;
using boost::asio::ip::tcp;

namespace {

// The crowd and the bounds were fixed when the tests failed on the code without limits: 24 bodies
// of 4 MB are 96 MB, where the process is granted 64 MB.
constexpr std::size_t kBodies = 24;
constexpr std::size_t kConnections = 500; //!< more than the descriptors that the process is granted
constexpr std::size_t kShortOfEnd = 10;   //!< bytes that a body lacks

/** Bytes that one caller sends, made piece by piece. */
struct Script
{
  std::string head;
  std::size_t total = 0;      //!< bytes after the head
  std::size_t piece = 16'384; //!< bytes of one write
  std::string pattern = "b";  //!< repeated to make up the bytes
  bool reads = false;
};

/** Callers that keep their connections open until the end of the test. */
class Crowd
{
public:
  Crowd(const Address& aTo, std::size_t aCount, const Script& aScript)
    : mScript(aScript)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      Connect(aTo);
    }
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (Pump() && std::chrono::steady_clock::now() < end) {
    }
  }

private:
  struct Caller
  {
    explicit Caller(boost::asio::io_context& aLoop)
      : socket(aLoop)
    {
    }

    tcp::socket socket;
    std::string pending;
    std::size_t left = 0;
    bool open = true;
  };

  void Connect(const Address& aTo)
  {
    mCallers.emplace_back(mLoop);
    Caller& caller = mCallers.back();
    boost::system::error_code ec;
    caller.socket.connect({ boost::asio::ip::address_v4(aTo.ip), aTo.port }, ec);
    caller.open = !ec;
    if (caller.open) {
      caller.socket.non_blocking(true, ec);
      caller.pending = mScript.head;
      caller.left = mScript.total;
    }
  }

  /** Sends what the sockets take. @return whether anything was sent or may be soon */
  bool Pump()
  {
    bool more = false;
    bool moved = false;
    for (Caller& it : mCallers) {
      if (!it.open) {
        continue;
      }
      Fill(it);
      if (it.pending.empty()) {
        continue;
      }
      more = true;
      boost::system::error_code ec;
      const std::size_t n = it.socket.write_some(boost::asio::buffer(it.pending), ec);
      it.pending.erase(0, n);
      moved = moved || n != 0;
      it.open = !ec || ec == boost::asio::error::would_block;
    }
    if (more && !moved) {
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return more;
  }

  void Fill(Caller& aCaller) const
  {
    while (aCaller.pending.size() < mScript.piece && aCaller.left != 0) {
      const std::size_t n = std::min(aCaller.left, mScript.pattern.size());
      aCaller.pending.append(mScript.pattern, 0, n);
      aCaller.left -= n;
    }
  }

  static constexpr Milliseconds kLimit{ 4'000 };

  const Script mScript;
  boost::asio::io_context mLoop{ 1 };
  std::list<Caller> mCallers;
};

std::string Head(const std::string& aMethod, const std::string& aTarget, const std::string& aRest)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: shop.example\r\n" +
         SidecarProcess::Headers("crowd") + aRest;
}

std::string Length(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n";
}

/** A body that stops just short of its end. */
Script ShortBody(const std::string& aTarget)
{
  return { Head("POST", aTarget, Length(kProcessBodyBytes)), kProcessBodyBytes - kShortOfEnd };
}

/** The same in chunks of 1 KB. */
Script ShortChunks(const std::string& aTarget)
{
  Script script{ Head("POST", aTarget, "Transfer-Encoding: chunked\r\n\r\n"), 0 };
  script.pattern = "400\r\n" + std::string(1'024, 'c') + "\r\n";
  script.total = script.pattern.size() * (kProcessBodyBytes / 1'024 - 1);
  return script;
}

struct MisbehavingCallersFixture
{
  /** The promise: the process lives within its bounds and still serves others. */
  void CheckHolds()
  {
    CHECK(process.IsAlive());
    CHECK(process.PeakMemoryKb() < kProcessMemoryMb * 1'024);
    CHECK(process.Descriptors() < kProcessDescriptors);
    CHECK(soak::AwaitTrue([this] { return process.ServesOrdinaryRequest(); }, Seconds(20)));
    CHECK(process.IsAlive());
  }

  SidecarProcess process;
};

const std::vector<std::string> kPaths{ "/unsafe/x", "/safe/x", "/none", "/api/ready" };

} // namespace

TEST_CASE_FIXTURE(MisbehavingCallersFixture,
                  "Misbehaving callers, bodies that stop short of their end, process holds")
{
  for (const std::string& it : kPaths) {
    CAPTURE(it);
    const Crowd crowd(process.callers, kBodies, ShortBody(it));
    CheckHolds();
  }
}

TEST_CASE_FIXTURE(MisbehavingCallersFixture,
                  "Misbehaving callers, bodies in small pieces, process holds")
{
  Script script = ShortBody("/unsafe/x");
  script.piece = 700;
  const Crowd crowd(process.callers, kBodies, script);
  CheckHolds();
}

TEST_CASE_FIXTURE(MisbehavingCallersFixture,
                  "Misbehaving callers, bodies in chunks that stop short, process holds")
{
  for (const std::string& it : kPaths) {
    CAPTURE(it);
    const Crowd crowd(process.callers, kBodies, ShortChunks(it));
    CheckHolds();
  }
}

TEST_CASE_FIXTURE(MisbehavingCallersFixture,
                  "Misbehaving callers, bodies far over the limit, process holds")
{
  const std::size_t over = 20 * kProcessBodyBytes;
  const Crowd declared(process.callers, kBodies, { Head("POST", "/unsafe/x", Length(over)), over });
  Script chunks = ShortChunks("/unsafe/x");
  chunks.total = 20 * kProcessBodyBytes;
  const Crowd undeclared(process.callers, kBodies, chunks);
  CheckHolds();
}

TEST_CASE_FIXTURE(MisbehavingCallersFixture,
                  "Misbehaving callers, bodies at the other listeners, process holds")
{
  const std::vector<std::pair<Address, std::string>> places{ { process.readiness, "/api/ready" },
                                                             { process.control,
                                                               "/api/instances/i-0/heartbeat" },
                                                             { process.metrics, "/metrics" } };
  for (const auto& [address, path] : places) {
    CAPTURE(path);
    const Crowd body(address, kBodies, ShortBody(path));
    const Crowd chunks(address, kBodies, ShortChunks(path));
    CheckHolds();
  }
  CHECK(process.Status("GET", process.readiness, "/api/ready") == 200);
}

TEST_CASE_FIXTURE(MisbehavingCallersFixture,
                  "Misbehaving callers, heads of very many short fields, process holds")
{
  // 8 KB of fields with one character each, and a request that never ends.
  Script script{ Head("POST", "/unsafe/x", "Content-Length: 50\r\n"), 7'800 };
  script.pattern = "a:b\r\n";
  const Crowd unfinished(process.callers, kConnections, script);
  CheckHolds();
}

TEST_CASE_FIXTURE(MisbehavingCallersFixture,
                  "Misbehaving callers, requests ahead and answers unread, process holds")
{
  Script script{ "", 0 };
  script.pattern = Head("GET", "/safe/x", "\r\n");
  script.total = 200 * script.pattern.size();
  const Crowd crowd(process.callers, 100, script); // answers of 1 MB
  std::this_thread::sleep_for(Seconds(2));
  CheckHolds();
}

TEST_CASE_FIXTURE(
  MisbehavingCallersFixture,
  "Misbehaving callers, connections that send nothing or half a head, process holds")
{
  const Crowd silent(process.callers, kConnections, { "", 0 });
  const Crowd half(process.callers, kConnections, { "GET /safe/x HTTP/1.1\r\nHost: sh", 0 });
  const Crowd ready(process.readiness, kConnections, { "GET /api/re", 0 });
  CheckHolds();
  CHECK(process.Status("GET", process.readiness, "/api/ready") == 200);
}

// A limit must not refuse what is allowed.
TEST_CASE_FIXTURE(MisbehavingCallersFixture,
                  "Misbehaving callers, none, the largest body is served")
{
  const std::string body(kProcessBodyBytes, 'x');
  CHECK(process.Status(
          "POST", process.callers, "/unsafe/x", body, SidecarProcess::Headers("largest")) == 200);
  CheckHolds();
}
