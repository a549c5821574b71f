#include "FreeAddress.h"
#include "http/HttpChannel.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace mustardwinch;
using boost::asio::ip::tcp;

namespace {

const std::string kWithLength =
  "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\nX-C: d\r\n\r\nwhole";
const std::string kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\nX-T: t\r\n\r\n";
const std::string kHeadOfNoLength = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";
const std::string kNoContent = "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n";
const std::string kNotModified = "HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n";
const std::string kHeadOnly = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-C: d\r\n\r\n";
const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string kHints = "HTTP/1.1 103 Early Hints\r\nX-L: m\r\n\r\n";
const std::string kAnother = "HTTP/1.1 299 Other\r\nContent-Length: 4\r\n\r\nlate";

struct CutCase
{
  std::string name;
  std::string before; //!< what comes ahead of the answer
  std::string answer;
  std::string body;
  bool head = false;
};

const CutCase kCases[] = {
  { "length", "", kWithLength, "whole" },
  { "chunked", "", kChunked, "whole" },
  { "no length", "", kHeadOfNoLength, "" },
  { "no content", "", kNoContent, "" },
  { "not modified", "", kNotModified, "" },
  { "HEAD", "", kHeadOnly, "", true },
  { "HEAD, chunked", "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", true },
  { "after 100", kContinue, kWithLength, "whole" },
  { "after 103", kHints, kNoContent, "" },
  { "after another answer", kAnother, kWithLength, "whole" },
};

/** A server that sends given bytes for a request and ends the connection. */
struct CutServer
{
  CutServer()
    : address(test::FreeAddress())
    , acceptor(loop, { boost::asio::ip::address_v4(address.ip), address.port })
  {
  }

  void RunUntil(const std::function<bool()>& aDone, Milliseconds aLimit = Seconds(5))
  {
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(Milliseconds(10));
    }
  }

  void Connect()
  {
    socket.emplace(loop);
    bool accepted = false;
    bool connected = false;
    acceptor.async_accept(*socket, [&](auto) { accepted = true; });
    channel = std::make_shared<HttpChannel>(loop);
    channel->Connect(address, [&](const auto& aError) { connected = !aError; });
    RunUntil([&] { return accepted && connected; });
    REQUIRE(accepted);
    REQUIRE(connected);
  }

  /** One exchange. @return its result; nothing if it did not end */
  std::optional<HttpChannelResult> Exchange(const std::string& aBytes, bool aHead, bool aEnd)
  {
    std::optional<HttpChannelResult> result;
    channel->Exchange(
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
      1'000,
      aHead,
      [](const HttpAnswer& aAnswer) { return aAnswer.status != 299; },
      [&](HttpChannelResult aResult) { result = std::move(aResult); });
    std::string request(1'000, ' ');
    bool read = false;
    socket->async_read_some(boost::asio::buffer(request), [&](auto, auto) { read = true; });
    RunUntil([&] { return read; });
    boost::asio::write(*socket, boost::asio::buffer(aBytes));
    if (aEnd) {
      End();
    }
    RunUntil([&] { return result.has_value(); });
    return result;
  }

  void End()
  {
    if (reset) {
      loop.poll(); // what was sent is read before the reset
      socket->set_option(boost::asio::socket_base::linger(true, 0));
    }
    socket->close();
  }

  /** An answer of which aBytes come, on a connection that carried aEarlier exchanges. */
  std::optional<HttpChannelResult> Cut(const CutCase& aCase, std::size_t aBytes, bool aKept)
  {
    Connect();
    if (aKept) {
      const auto earlier = Exchange(kWithLength, false, false);
      REQUIRE(earlier);
      REQUIRE(earlier->reusable);
    }
    auto result = Exchange(aCase.before + aCase.answer.substr(0, aBytes), aCase.head, true);
    channel->Close();
    loop.poll();
    return result;
  }

  boost::asio::io_context loop{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
    loop.get_executor()
  };
  Address address;
  tcp::acceptor acceptor;
  std::optional<tcp::socket> socket;
  std::shared_ptr<HttpChannel> channel;
  bool reset = false;
};

} // namespace

// Guards against success with an empty or short body for a peer that closes inside its answer.
TEST_CASE_FIXTURE(CutServer, "HttpChannel, answer cut at any byte, is not complete")
{
  for (const CutCase& it : kCases) {
    for (const bool kept : { false, true }) {
      for (const bool withReset : { false, true }) {
        reset = withReset;
        for (std::size_t n = 0; n < it.answer.size(); ++n) {
          CAPTURE(it.name);
          CAPTURE(kept);
          CAPTURE(reset);
          CAPTURE(n);
          const auto result = Cut(it, n, kept);
          REQUIRE(result);
          CHECK(result->error);
          CHECK_FALSE(result->reusable);
        }
      }
    }
  }
}

TEST_CASE_FIXTURE(CutServer, "HttpChannel, answer whole before the end, is passed on")
{
  for (const CutCase& it : kCases) {
    for (const bool kept : { false, true }) {
      CAPTURE(it.name);
      const auto result = Cut(it, it.answer.size(), kept);
      REQUIRE(result);
      CHECK_FALSE(result->error);
      CHECK(result->answer.body == it.body);
    }
  }
}

// Guards against a body that ends with the connection and is taken for whole after a reset.
TEST_CASE_FIXTURE(CutServer, "HttpChannel, answer without a length reset, is not complete")
{
  reset = true;
  for (std::size_t n = 0; n <= 5; ++n) {
    CAPTURE(n);
    const CutCase answer{ "", "", kHeadOfNoLength + std::string(n, 'w'), "" };
    const auto result = Cut(answer, answer.answer.size(), false);
    REQUIRE(result);
    CHECK(result->error);
  }
}

// Guards against two readers of one answer that see different ends of its body.
TEST_CASE_FIXTURE(CutServer, "HttpChannel, answer whose length is in doubt, is not complete")
{
  for (const std::string fields : { "Content-Length: 5\r\nContent-Length: 2\r\n",
                                    "Content-Length: 2\r\nContent-Length: 5\r\n",
                                    "Content-Length: 5, 2\r\n",
                                    "Content-Length: 5x\r\n",
                                    "Content-Length: -5\r\n",
                                    "Content-Length:\r\n",
                                    "Content-Length : 2\r\n",
                                    "Content-Length: 99999999999999999999\r\n",
                                    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                                    "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" }) {
    CAPTURE(fields);
    const CutCase answer{
      "", "", "HTTP/1.1 200 OK\r\n" + fields + "\r\n5\r\nwhole\r\n0\r\n\r\n", ""
    };
    const auto result = Cut(answer, answer.answer.size(), false);
    REQUIRE(result);
    CHECK(result->error);
  }
}

// Guards against bytes that are no status of HTTP and are passed on, or waited behind, as an
// answer.
TEST_CASE_FIXTURE(CutServer,
                  "HttpChannel, status that HTTP does not have, ends with an error at once")
{
  for (const std::string status : { "000", "001", "099", "600", "999" }) {
    for (const std::string fields : { "Content-Length: 5\r\n", "" }) {
      CAPTURE(status);
      CAPTURE(fields);
      Connect();
      const auto result =
        Exchange("HTTP/1.1 " + status + " Odd\r\n" + fields + "\r\nwhole", false, false);
      channel->Close();
      loop.poll();
      REQUIRE(result);
      CHECK(result->error);
      CHECK_FALSE(result->reusable);
    }
  }
}
