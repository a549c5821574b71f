#include "sidecar/SidecarFleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

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

  void SendRequest()
  {
    const std::string request = FormatRequest({ "POST",
                                                "/unsafe/1",
                                                { { "Host", "shop.example" },
                                                  { "X-Request-Id", "q-large" },
                                                  { "X-Api-Key", "k-org" },
                                                  { "X-Request-Timeout-Ms", "6000" } },
                                                "" },
                                              "shop.example");
    boost::asio::write(socket, boost::asio::buffer(request));
  }

  /** Reads what has come. */
  void Read()
  {
    std::array<char, 65'536> buf{};
    boost::system::error_code ec;
    for (std::size_t n = 1; n > 0;) {
      n = socket.read_some(boost::asio::buffer(buf), ec);
      received += n;
    }
    ended = ended || (ec && ec != boost::asio::error::would_block);
  }

  tcp::socket socket;
  std::size_t received = 0;
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
  RunUntil([&] { return members[0].loop->stopped(); }, Milliseconds(4'500));
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
