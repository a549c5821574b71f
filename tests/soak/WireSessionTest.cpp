#include "soak/WireSession.h"
#include "FreeAddress.h"
#include "http/HttpText.h"
#include "soak/WireListener.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace mustardwinch;
using namespace mustardwinch::soak;

namespace {

/** A caller on a plain socket; the upstream's answers are the test's. */
struct WireFixture
{
  using SessionFn = std::function<void(const std::shared_ptr<WireSession>&, const HttpRequest&)>;

  void Connect()
  {
    listener.emplace(loop,
                     address,
                     WireSession::Handlers{ [this](const auto& aSession, const auto& aRequest) {
                                             onHead(aSession, aRequest);
                                           },
                                            [this](const auto& aSession, const auto& aRequest) {
                                              bodies.push_back(aRequest.body.size());
                                              onRequest(aSession, aRequest);
                                            } });
    REQUIRE(listener->IsListening());
    caller.connect({ boost::asio::ip::address_v4(address.ip), address.port });
  }

  void Send(const std::string& aBytes) { boost::asio::write(caller, boost::asio::buffer(aBytes)); }

  /** Reads until so many bytes have come or the connection has ended. */
  void Read(std::size_t aCount)
  {
    std::string part(aCount, '\0');
    bool done = false;
    boost::asio::async_read(caller,
                            boost::asio::buffer(part),
                            [&](const boost::system::error_code& aError, std::size_t aRead) {
                              received += part.substr(0, aRead);
                              end = aError;
                              done = true;
                            });
    const auto limit = std::chrono::steady_clock::now() + Seconds(5);
    while (!done && std::chrono::steady_clock::now() < limit) {
      loop.run_one_for(Milliseconds(50));
    }
    REQUIRE(done);
  }

  boost::asio::io_context loop{ 1 };
  const Address address = test::FreeAddress();
  SessionFn onHead = [](const auto&, const auto&) {};
  SessionFn onRequest = [](const auto&, const auto&) {};
  std::vector<std::size_t> bodies; //!< of the requests that were handed over
  std::optional<WireListener> listener;
  boost::asio::ip::tcp::socket caller{ loop };
  std::string received;
  boost::system::error_code end;
};

const HttpAnswer kYes{ 200, {}, "yes" };
const HttpAnswer kNo{ 503, {}, "" };

} // namespace

TEST_CASE_FIXTURE(WireFixture, "WireSession, second copy of an answer, stands before the next one")
{
  onRequest = [](const auto& aSession, const auto&) {
    if (aSession->LastAnswer()) {
      aSession->WriteStray(FormatAnswer(*aSession->LastAnswer(), false, false));
      aSession->Answer(kYes);
    } else {
      aSession->Answer(kNo);
    }
  };
  Connect();
  const std::string no = FormatAnswer(kNo, false, false);
  const std::string yes = FormatAnswer(kYes, false, false);
  Send("GET /1 HTTP/1.1\r\n\r\n");
  Read(no.size());
  Send("GET /2 HTTP/1.1\r\n\r\n");
  Read(no.size() + yes.size());
  CHECK(received == no + no + yes);
}

TEST_CASE_FIXTURE(WireFixture,
                  "WireSession, refused before its body is in, the next one is handled")
{
  onHead = [](const auto& aSession, const auto&) {
    aSession->Answer(kNo);
    aSession->PauseReading(Milliseconds(20));
  };
  onRequest = [](const auto& aSession, const auto&) { aSession->Answer(kYes); };
  Connect();
  const std::string no = FormatAnswer(kNo, false, false);
  const std::string yes = FormatAnswer(kYes, false, false);
  Send("POST /1 HTTP/1.1\r\nContent-Length: 100000\r\n\r\nbegin");
  Read(no.size());
  Send(std::string(99'995, 'u') + "POST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
  Read(yes.size());
  CHECK(received == no + yes);
  CHECK(bodies == std::vector<std::size_t>{ 2 });
}

TEST_CASE_FIXTURE(WireFixture, "WireSession, part of an answer, closed or reset after it")
{
  bool reset = false;
  SUBCASE("closed") {}
  SUBCASE("reset")
  {
    reset = true;
  }
  onRequest = [&](const auto& aSession, const auto&) {
    aSession->WriteAndEnd("HTTP/1.1 20",
                          reset ? WireSession::End::kReset : WireSession::End::kClose);
  };
  Connect();
  Send("GET /1 HTTP/1.1\r\n\r\n");
  Read(100);
  CHECK(received == "HTTP/1.1 20");
  if (reset) {
    CHECK(end == boost::asio::error::connection_reset);
  } else {
    CHECK(end == boost::asio::error::eof);
  }
}
