#include "sidecar/SidecarFleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <vector>

using namespace mustardwinch;
using boost::asio::ip::tcp;
using test::SidecarFleet;

namespace {

/** A caller that sends several requests before it reads. */
struct PipeliningCaller : SidecarFleet
{
  PipeliningCaller()
    : socket(loop)
  {
    const Address& to = members[0].settings.callers;
    socket.connect({ boost::asio::ip::address_v4(to.ip), to.port });
    socket.non_blocking(true);
  }

  static std::string Request(const std::string& aMethod,
                             const std::string& aTarget,
                             const std::string& aId,
                             const std::string& aBody = "")
  {
    return FormatRequest({ aMethod,
                           aTarget,
                           { { "Host", "shop.example" },
                             { "X-Request-Id", aId },
                             { "X-Api-Key", "k-org" },
                             { "X-Request-Timeout-Ms", "2000" } },
                           aBody },
                         "shop.example");
  }

  void Send(const std::string& aBytes) { boost::asio::write(socket, boost::asio::buffer(aBytes)); }

  /** Reads what has come. @return the answers so far, in order: status and id */
  std::vector<std::string> Answers()
  {
    std::array<char, 4'096> buf{};
    boost::system::error_code ec;
    for (std::size_t n = 1; n > 0;) {
      n = socket.read_some(boost::asio::buffer(buf), ec);
      input.append(buf.data(), n);
    }
    ended = ended || (ec && ec != boost::asio::error::would_block);
    std::vector<std::string> answers;
    for (std::size_t at = input.find("HTTP/1.1 "); at != std::string::npos;) {
      const std::size_t next = input.find("HTTP/1.1 ", at + 1);
      const std::string one = input.substr(at, next - at);
      const std::size_t id = one.find("X-Request-Id: ");
      answers.push_back(one.substr(9, 3) + " " +
                        (id == std::string::npos ? "" : one.substr(id + 14, 2)));
      at = next;
    }
    return answers;
  }

  bool HasIds(const std::vector<std::string>& aExpected)
  {
    RunUntil([&] { return Answers().size() >= aExpected.size(); }, Seconds(3));
    return Answers() == aExpected;
  }

  tcp::socket socket;
  std::string input;
  bool ended = false;
};

} // namespace

TEST_CASE_FIXTURE(PipeliningCaller, "Pipelining, three safe requests, answered in their order")
{
  Send(Request("GET", "/safe/1", "q1") + Request("GET", "/safe/2", "q2") +
       Request("GET", "/safe/3", "q3"));
  CHECK(HasIds({ "200 q1", "200 q2", "200 q3" }));
  CHECK(ReceivedRequests() == 3);
}

TEST_CASE_FIXTURE(PipeliningCaller,
                  "Pipelining, first is refused, the others are still answered in order")
{
  Send(Request("GET", "/nowhere/1", "q1") + Request("GET", "/safe/2", "q2"));
  CHECK(HasIds({ "404 q1", "200 q2" }));
}

TEST_CASE_FIXTURE(PipeliningCaller, "Pipelining, unsafe request behind a safe one, each runs once")
{
  Send(Request("GET", "/safe/1", "q1") + Request("POST", "/unsafe/2", "q2", "body") +
       Request("GET", "/safe/3", "q3"));
  CHECK(HasIds({ "200 q1", "200 q2", "200 q3" }));
  CHECK(ReceivedRequests() == 3);
}

TEST_CASE_FIXTURE(PipeliningCaller, "Pipelining, requests in many small pieces, none is lost")
{
  const std::string bytes = Request("POST", "/unsafe/1", "q1", std::string(300, 'b')) +
                            Request("GET", "/safe/2", "q2") + Request("GET", "/safe/3", "q3");
  for (std::size_t at = 0; at < bytes.size(); at += 7) {
    Send(bytes.substr(at, 7));
    Step();
  }
  CHECK(HasIds({ "200 q1", "200 q2", "200 q3" }));
}

TEST_CASE_FIXTURE(PipeliningCaller,
                  "Pipelining, first times out at its upstream, the second is answered after it")
{
  for (Member& it : members) {
    it.upstream->hang = true;
  }
  Send(Request("POST", "/unsafe/1", "q1") + Request("GET", "/nowhere/2", "q2"));
  CHECK(HasIds({ "504 q1", "404 q2" }));
}

TEST_CASE_FIXTURE(
  PipeliningCaller,
  "Pipelining, stop with requests in the buffer, those behind the close are not run")
{
  for (Member& it : members) {
    it.upstream->hang = true;
  }
  Send(Request("POST", "/unsafe/1", "q1") + Request("POST", "/unsafe/2", "q2") +
       Request("POST", "/unsafe/3", "q3"));
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  members[0].node->Stop();
  for (Member& it : members) {
    it.upstream->hang = false;
    if (!it.upstream->held.empty()) {
      it.upstream->AnswerHeld();
    }
  }
  CHECK(RunUntil([&] {
    Answers();
    return ended;
  }));
  CHECK(Answers() == std::vector<std::string>{ "200 q1" });
  CHECK(input.find("Connection: close") != std::string::npos);
  CHECK(ReceivedRequests() == 1);
}

TEST_CASE_FIXTURE(
  PipeliningCaller,
  "Pipelining, malformed second request, the first is answered and nothing else runs")
{
  Send(Request("GET", "/safe/1", "q1") + "GET /safe/2 HTTP/9.9\r\n\r\n" +
       Request("GET", "/safe/3", "q3"));
  CHECK(HasIds({ "200 q1", "400 " }));
  CHECK(ReceivedRequests() == 1);
}

TEST_CASE_FIXTURE(PipeliningCaller,
                  "Pipelining, caller leaves during the first request, the second does not run")
{
  for (Member& it : members) {
    it.upstream->hang = true;
  }
  Send(Request("GET", "/safe/1", "q1") + Request("POST", "/unsafe/2", "q2"));
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  socket.close();
  RunUntil([] { return false; }, Milliseconds(500));
  for (Member& it : members) {
    for (const HttpRequest& request : it.upstream->requests) {
      CHECK(request.target == "/safe/1"); // it may be hedged
    }
  }
}
