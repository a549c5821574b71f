#include "FreeAddress.h"
#include "http/HttpChannel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

using namespace mustardwinch;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kMaxBody = 1U << 20;

/** Bytes that kernel buffers may hold in addition to those that the channel reads. */
constexpr std::size_t kKernelBytes = 16U << 20;

/** A server that sends a begin and then a piece again and again until the client closes. */
struct EndlessServer
{
  EndlessServer()
    : address(test::FreeAddress())
    , acceptor(loop, { boost::asio::ip::address_v4(address.ip), address.port })
    , socket(loop)
  {
  }

  /** Runs one exchange. @return its result; nothing if it did not end by itself */
  std::optional<HttpChannelResult> Exchange(const std::string& aBegin,
                                            const std::string& aPiece,
                                            const std::shared_ptr<ByteBudget>& aBudget = nullptr)
  {
    piece = aPiece;
    acceptor.async_accept(socket, [this, aBegin](const boost::system::error_code&) {
      auto begin = std::make_shared<std::string>(aBegin);
      boost::asio::async_write(
        socket, boost::asio::buffer(*begin), [this, begin](auto aError, auto) {
          if (!aError) {
            SendPiece();
          }
        });
    });
    const auto channel = std::make_shared<HttpChannel>(loop, aBudget);
    std::optional<HttpChannelResult> result;
    channel->Connect(address, [&](const boost::system::error_code&) {
      const auto own = [](const HttpAnswer& aAnswer) { return aAnswer.status != 299; };
      channel->Exchange(
        "GET / HTTP/1.1\r\nHost: h\r\n\r\n", kMaxBody, false, own, [&](auto aResult) {
          result = std::move(aResult);
        });
    });
    const auto end = std::chrono::steady_clock::now() + Seconds(5);
    while (!result && std::chrono::steady_clock::now() < end && sent < 4 * kKernelBytes) {
      loop.run_one_for(Milliseconds(10));
    }
    channel->Close();
    return result;
  }

  void SendPiece()
  {
    boost::asio::async_write(socket, boost::asio::buffer(piece), [this](auto aError, auto aCount) {
      sent += aCount;
      if (!aError) {
        SendPiece();
      }
    });
  }

  boost::asio::io_context loop{ 1 };
  Address address;
  tcp::acceptor acceptor;
  tcp::socket socket;
  std::string piece;
  std::size_t sent = 0;
};

const std::string kText(8'192, 'x');

} // namespace

TEST_CASE_FIXTURE(EndlessServer, "HttpChannel, status line without end, ends with an error")
{
  const auto result = Exchange("HTTP/1.1 200 ", kText);
  REQUIRE(result);
  CHECK(result->error);
  CHECK(sent < kMaxBody + kKernelBytes);
}

TEST_CASE_FIXTURE(EndlessServer, "HttpChannel, header fields without end, ends with an error")
{
  const auto result = Exchange("HTTP/1.1 200 OK\r\n", "A: b\r\nC: d\r\n");
  REQUIRE(result);
  CHECK(result->error);
}

TEST_CASE_FIXTURE(EndlessServer,
                  "HttpChannel, body until the close without end, ends with an error")
{
  const auto result = Exchange("HTTP/1.1 200 OK\r\n\r\n", kText);
  REQUIRE(result);
  CHECK(result->error);
  CHECK(sent < kMaxBody + kKernelBytes);
}

TEST_CASE_FIXTURE(EndlessServer, "HttpChannel, body of a huge length, ends with an error")
{
  const auto result = Exchange("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", kText);
  REQUIRE(result);
  CHECK(result->error);
}

TEST_CASE_FIXTURE(EndlessServer, "HttpChannel, chunks without end, ends with an error")
{
  const auto result =
    Exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2000\r\n" + kText + "\r\n");
  REQUIRE(result);
  CHECK(result->error);
  CHECK(sent < kMaxBody + kKernelBytes);
}

TEST_CASE_FIXTURE(EndlessServer,
                  "HttpChannel, line of a chunk's length without end, ends with an error")
{
  const auto result = Exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", kText);
  REQUIRE(result);
  CHECK(result->error);
  CHECK(sent < kMaxBody + kKernelBytes);
}

TEST_CASE_FIXTURE(EndlessServer, "HttpChannel, trailers without end, ends with an error")
{
  const auto result =
    Exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n" + kText);
  REQUIRE(result);
  CHECK(result->error);
  CHECK(sent < kMaxBody + kKernelBytes);
}

TEST_CASE_FIXTURE(EndlessServer, "HttpChannel, interim answers without end, ends with an error")
{
  const auto result = Exchange("", "HTTP/1.1 102 Processing\r\n\r\n");
  REQUIRE(result);
  CHECK(result->error);
}

TEST_CASE_FIXTURE(EndlessServer,
                  "HttpChannel, answers to other requests without end, ends with an error")
{
  const auto result = Exchange("", "HTTP/1.1 299 Other\r\nContent-Length: 8192\r\n\r\n" + kText);
  REQUIRE(result);
  CHECK(result->error);
  CHECK(sent < kMaxBody + kKernelBytes);
}

TEST_CASE_FIXTURE(
  EndlessServer,
  "HttpChannel, other answers hold most of the memory, ends early and returns its part")
{
  const auto budget = std::make_shared<ByteBudget>(100'000);
  REQUIRE(budget->TryTake(60'000)); // by another channel
  const auto result = Exchange("HTTP/1.1 200 OK\r\n\r\n", kText, budget);
  REQUIRE(result);
  CHECK(result->error);
  CHECK(budget->Taken() == 60'000);
}

TEST_CASE_FIXTURE(EndlessServer, "HttpChannel, complete answer, returns its part of the memory")
{
  const auto budget = std::make_shared<ByteBudget>(100'000);
  const std::string body(2'000, 'y');
  const auto result =
    Exchange("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + body, "", budget);
  REQUIRE(result);
  CHECK_FALSE(result->error);
  CHECK(result->answer.body == body);
  CHECK(budget->Taken() == 0);
}
