#include "FreeAddress.h"
#include "http/HttpChannel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

using namespace mustardwinch;
using boost::asio::ip::tcp;

namespace {

/** More than the kernel's buffers of a connection whose peer does not read. */
constexpr std::size_t kUploadBytes = 32U << 20;
constexpr std::size_t kMaxAnswer = 1U << 20;
const std::string kHalf(2'500, 'w');

/** How the peer ends the connection after its answer. */
enum class End
{
  kReset,
  kReadsOn,   //!< ends its own direction and reads the rest of the request
  kEndsFirst, //!< ends its own direction, and resets the connection while the request is sent
};

/** A server that answers an upload before it has read it. */
struct EarlyServer
{
  EarlyServer()
    : address(test::FreeAddress())
    , acceptor(loop, { boost::asio::ip::address_v4(address.ip), address.port })
    , socket(loop)
  {
  }

  void RunUntil(const std::function<bool()>& aDone, Milliseconds aLimit = Seconds(5))
  {
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(Milliseconds(10));
    }
  }

  /** Sends an upload. @return how it ended; nothing if it did not */
  std::optional<HttpChannelResult> Upload(const std::string& aAnswer, End aEnd)
  {
    bool accepted = false;
    acceptor.async_accept(socket, [&](auto) { accepted = true; });
    channel = std::make_shared<HttpChannel>(loop);
    std::optional<HttpChannelResult> result;
    channel->Connect(address, [&](const boost::system::error_code&) {
      const std::string head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kUploadBytes) +
        "\r\n\r\n";
      channel->Exchange(
        head + std::string(kUploadBytes, 'x'),
        kMaxAnswer,
        false,
        [](const HttpAnswer& aAnswer) { return aAnswer.status != 299; },
        [&](HttpChannelResult aResult) { result = std::move(aResult); });
    });
    RunUntil([&] { return accepted; });
    boost::asio::write(socket, boost::asio::buffer(aAnswer));
    // The channel has read the answer and still sends the request.
    RunUntil([&] { return result.has_value(); }, Milliseconds(100));
    EndConnection(aEnd);
    RunUntil([&] { return result.has_value(); });
    channel->Close();
    RunUntil([] { return false; }, Milliseconds(20));
    return result;
  }

  void EndConnection(End aEnd)
  {
    if (aEnd == End::kReset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0));
      socket.close();
      return;
    }
    socket.shutdown(tcp::socket::shutdown_send);
    if (aEnd == End::kReadsOn) {
      ReadOn();
      return;
    }
    RunUntil([] { return false; }, Milliseconds(100)); // the end is seen before the reset
    EndConnection(End::kReset);
  }

  void ReadOn()
  {
    socket.async_read_some(boost::asio::buffer(chunk), [this](auto aError, auto) {
      if (!aError) {
        ReadOn();
      }
    });
  }

  boost::asio::io_context loop{ 1 };
  Address address;
  tcp::acceptor acceptor;
  tcp::socket socket;
  std::shared_ptr<HttpChannel> channel;
  std::string chunk = std::string(65'536, ' ');
};

} // namespace

// Guards against passing on a truncated answer as whole: the reset is reported to the pending
// write, and the read after it sees an orderly end.
TEST_CASE_FIXTURE(EarlyServer,
                  "HttpChannel, answer without a length reset during an upload, is not complete")
{
  const auto result = Upload("HTTP/1.1 200 OK\r\n\r\n" + kHalf, End::kReset);
  REQUIRE(result);
  CHECK(result->error);
  CHECK(result->begun);
  CHECK_FALSE(result->reusable);
}

TEST_CASE_FIXTURE(EarlyServer,
                  "HttpChannel, answer without a length ended during an upload, is complete")
{
  const auto result = Upload("HTTP/1.1 200 OK\r\n\r\n" + kHalf, End::kReadsOn);
  REQUIRE(result);
  CHECK_FALSE(result->error);
  CHECK(result->answer.body == kHalf);
  CHECK_FALSE(result->reusable);
}

// Guards against passing on a part of an answer as whole: the upstream ends its direction, and then
// resets the connection while the upload is still being sent.
TEST_CASE_FIXTURE(
  EarlyServer,
  "HttpChannel, answer without a length ended and reset during an upload, is not complete")
{
  const auto result = Upload("HTTP/1.1 200 OK\r\n\r\n" + kHalf, End::kEndsFirst);
  REQUIRE(result);
  CHECK(result->error);
  CHECK_FALSE(result->reusable);
}

TEST_CASE_FIXTURE(
  EarlyServer,
  "HttpChannel, answer with a length cut by a reset during an upload, is not complete")
{
  const auto result =
    Upload("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + kHalf, End::kReset);
  REQUIRE(result);
  CHECK(result->error);
}

TEST_CASE_FIXTURE(EarlyServer,
                  "HttpChannel, answer in chunks cut by a reset during an upload, is not complete")
{
  const auto result = Upload(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9c4\r\n" + kHalf + "\r\n", End::kReset);
  REQUIRE(result);
  CHECK(result->error);
}

// Guards against pooling a connection on which a request was sent in part.
TEST_CASE_FIXTURE(EarlyServer, "HttpChannel, whole answer during an upload, is not reused")
{
  const auto result =
    Upload("HTTP/1.1 200 OK\r\nContent-Length: 2500\r\n\r\n" + kHalf, End::kReset);
  REQUIRE(result);
  CHECK_FALSE(result->error);
  CHECK(result->answer.body == kHalf);
  CHECK_FALSE(result->reusable);
}

// Guards against a call that never ends and keeps its slot for good.
TEST_CASE_FIXTURE(
  EarlyServer,
  "HttpChannel, answer without a length to another request, the exchange ends with an error")
{
  const auto result = Upload("HTTP/1.1 299 Other\r\n\r\n" + kHalf, End::kReadsOn);
  REQUIRE(result);
  CHECK(result->error);
  CHECK_FALSE(result->reusable);
}
