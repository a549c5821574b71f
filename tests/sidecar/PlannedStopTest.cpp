#include "sidecar/SidecarFleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <string>

using namespace mustardwinch;
using boost::asio::ip::tcp;
using test::SidecarFleet;
using test::TestUpstream;

namespace {

/** A caller of a node that is stopped while it sends large answers. */
struct StoppedNode : SidecarFleet
{
  StoppedNode()
    : socket(loop)
  {
    Kill(members[0]);
    members[0].settings.stopGrace = Seconds(7);
    Boot(members[0]);
    REQUIRE(
      RunUntil([&] { return Get(members[0].settings.readiness, "/api/ready").status == 200; }));
    CHECK(Announce(members[0], "ready") == 200);
    REQUIRE(RunUntil([&] { return Call(0, "GET", "/safe/x").status == 200; }));
    for (Member& it : members) {
      it.upstream->requests.clear();
      it.upstream->largeAnswer = true;
    }
    const Address& to = members[0].settings.callers;
    socket.open(tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(65'536));
    socket.connect({ boost::asio::ip::address_v4(to.ip), to.port });
    socket.non_blocking(true);
  }

  static std::string Request(const std::string& aBody = "")
  {
    return FormatRequest({ "POST",
                           "/unsafe/1",
                           { { "Host", "shop.example" },
                             { "X-Request-Id", "q-1" },
                             { "X-Api-Key", "k-org" },
                             { "X-Request-Timeout-Ms", "6000" } },
                           aBody },
                         "shop.example");
  }

  void Send(const std::string& aBytes) { boost::asio::write(socket, boost::asio::buffer(aBytes)); }

  void SendRequest() { Send(Request()); }

  /** Reads what has come. */
  void Read()
  {
    std::array<char, 65'536> buf{};
    boost::system::error_code ec;
    for (std::size_t n = 1; n > 0;) {
      n = socket.read_some(boost::asio::buffer(buf), ec);
      received += n;
      begin.append(buf.data(), std::min(n, kBeginBytes - std::min(kBeginBytes, begin.size())));
    }
    ended = ended || (ec && ec != boost::asio::error::would_block);
  }

  static constexpr std::size_t kBeginBytes = 512;

  tcp::socket socket;
  std::size_t received = 0;
  std::string begin; //!< first bytes of what was received
  bool ended = false;
};

} // namespace

// Guards against a process that ends while it still sends an answer that it has already counted as
// given.
TEST_CASE_FIXTURE(StoppedNode, "Planned stop, caller reads a large answer slowly, gets it whole")
{
  SendRequest();
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  members[0].node->Stop();
  RunUntil([&] { return members[0].loop->stopped(); }, Seconds(1));
  members[0].node->Stop(); // a second signal changes nothing
  RunUntil([&] { return members[0].loop->stopped(); }, Milliseconds(3'500));
  CHECK_FALSE(members[0].loop->stopped());
  CHECK(RunUntil(
    [&] {
      Read();
      return received > TestUpstream::kLargeAnswerBytes;
    },
    Seconds(2)));
  CHECK(RunUntil([&] { return members[0].loop->stopped(); }, Seconds(1)));
}

TEST_CASE_FIXTURE(StoppedNode, "Planned stop, caller does not read, the node ends with its grace")
{
  SendRequest();
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  members[0].node->Stop();
  CHECK(RunUntil([&] { return members[0].loop->stopped(); }, Seconds(7)));
}

TEST_CASE_FIXTURE(StoppedNode, "Planned stop, upload ends early in the grace, is run and answered")
{
  const std::string request = Request(std::string(200'000, 'u'));
  Send(request.substr(0, request.size() / 2));
  RunUntil([] { return false; }, Milliseconds(100));
  members[0].node->Stop();
  RunUntil([] { return false; }, Seconds(1));
  Send(request.substr(request.size() / 2));
  CHECK(RunUntil([&] {
    Read();
    return received > TestUpstream::kLargeAnswerBytes;
  }));
  CHECK(begin.starts_with("HTTP/1.1 200"));
  CHECK(ReceivedRequests() == 1);
}

TEST_CASE_FIXTURE(StoppedNode,
                  "Planned stop, upload ends late in the grace, is refused as not run and not cut")
{
  const std::string request = Request(std::string(200'000, 'u'));
  Send(request.substr(0, request.size() / 2));
  RunUntil([] { return false; }, Milliseconds(100));
  members[0].node->Stop();
  RunUntil([&] { return members[0].loop->stopped(); }, Milliseconds(4'000));
  REQUIRE_FALSE(members[0].loop->stopped());
  Send(request.substr(request.size() / 2));
  CHECK(RunUntil([&] {
    Read();
    return ended;
  }));
  CHECK(begin.starts_with("HTTP/1.1 503"));
  CHECK(ReceivedRequests() == 0);
}

TEST_CASE_FIXTURE(
  StoppedNode,
  "Planned stop, another node takes a large result slowly, its caller gets it whole")
{
  config["listeners"][0]["rules"][1]["action"]["timeoutMs"] = 20'000;
  config["version"] = "r4";
  store.Put("config", "main", config);
  // The only upstream that is up is beside the node that stops.
  for (std::size_t i = 1; i < members.size(); ++i) {
    CHECK(Announce(members[i], "draining") == 200);
  }
  RunUntil([] { return false; }, Seconds(1));
  const auto channel = std::make_shared<HttpChannel>(loop);
  std::optional<HttpChannelResult> result;
  channel->Connect(members[1].settings.callers, [&](const boost::system::error_code&) {
    channel->Exchange(
      Request(), 2 * TestUpstream::kLargeAnswerBytes, false, nullptr, [&](auto aResult) {
        result = std::move(aResult);
      });
  });
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  members[0].node->Stop();
  // The other node does nothing for a while, as on a busy VM.
  const auto end = std::chrono::steady_clock::now() + Milliseconds(3'600);
  while (std::chrono::steady_clock::now() < end) {
    if (loop.poll() + members[0].loop->poll() == 0) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }
  CHECK_FALSE(members[0].loop->stopped());
  REQUIRE(RunUntil([&] { return result.has_value(); }));
  CHECK_FALSE(result->error);
  CHECK(result->answer.status == 200);
  CHECK(result->answer.body.size() == TestUpstream::kLargeAnswerBytes);
}
