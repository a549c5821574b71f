#include "sidecar/SidecarFleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>

using namespace mustardwinch;
using boost::asio::ip::tcp;
using test::SidecarFleet;
using test::TestUpstream;

namespace {

/** A caller of a node that is stopped while it sends large answers. */
struct StoppedNode : SidecarFleet
{
  explicit StoppedNode(Seconds aGrace = Seconds(7))
    : socket(loop)
  {
    Kill(members[0]);
    members[0].settings.stopGrace = aGrace;
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

  /** Lets requests of the route last longer than any grace period here. */
  void AllowLongRequests()
  {
    config["listeners"][0]["rules"][1]["action"]["timeoutMs"] = 20'000;
    config["version"] = "r4";
    store.Put("config", "main", config);
    RunUntil([] { return false; }, Seconds(1));
  }

  /** Stops the node and runs the fleet for a while from then on. */
  void StopAndWait(Milliseconds aTime)
  {
    members[0].node->Stop();
    RunUntil([] { return false; }, aTime);
  }

  /** Sends a request on a connection of its own; its answer is added to the answers. */
  void SendApart(const std::string& aId, Milliseconds aTimeLeft)
  {
    const HttpRequest request{ "POST",
                               "/unsafe/1",
                               { { "Host", "shop.example" },
                                 { "X-Request-Id", aId },
                                 { "X-Api-Key", "k-org" },
                                 { "X-Request-Timeout-Ms", std::to_string(aTimeLeft.count()) } },
                               "" };
    const auto channel = std::make_shared<HttpChannel>(loop);
    channel->Connect(members[0].settings.callers, [=, this](const boost::system::error_code&) {
      channel->Exchange(FormatRequest(request, "h"), 1 << 20, false, nullptr, [=, this](auto aEnd) {
        answers[aId] = aEnd.error ? HttpAnswer{} : aEnd.answer;
      });
    });
  }

  static constexpr std::size_t kBeginBytes = 512;

  tcp::socket socket;
  std::size_t received = 0;
  std::string begin; //!< first bytes of what was received
  bool ended = false;
  std::map<std::string, HttpAnswer> answers; //!< by id of the request
};

struct NodeWithUsualGrace : StoppedNode
{
  NodeWithUsualGrace()
    : StoppedNode(Seconds(6))
  {
  }
};

struct NodeWithLongGrace : StoppedNode
{
  NodeWithLongGrace()
    : StoppedNode(Seconds(8))
  {
  }
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

// Guards against a limit that is put in force by the next periodic check: what arrived before it
// was run and then cut by the end of the grace period.
TEST_CASE_FIXTURE(NodeWithUsualGrace,
                  "Planned stop, requests right after half of the grace, none of them is run")
{
  for (Member& it : members) {
    it.upstream->hang = true;
  }
  AllowLongRequests();
  SendApart("open", Seconds(20)); // the node does not end before its grace
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  const auto half = std::chrono::steady_clock::now() + Seconds(3);
  StopAndWait(Milliseconds(2'900));
  REQUIRE(RunUntil([&] { return std::chrono::steady_clock::now() >= half; }));
  Send(Request(std::string(200'000, 'u')).substr(0, 100'000)); // refused by its head
  for (int i = 0; i < 30; ++i) {
    SendApart("late-" + std::to_string(i), Seconds(6));
    RunUntil([] { return false; }, Milliseconds(4));
  }
  REQUIRE(RunUntil([&] { return answers.size() == 30; }, Seconds(1)));
  for (const auto& [id, answer] : answers) {
    CHECK_MESSAGE(answer.status == 503, id);
  }
  Read();
  CHECK(begin.starts_with("HTTP/1.1 503"));
  CHECK(ReceivedRequests() == 1);
}

// Guards against a stop by the settings of up to a second ago: the process would be killed with
// requests open.
TEST_CASE_FIXTURE(StoppedNode, "Planned stop, grace shortened just before, the node ends within it")
{
  for (Member& it : members) {
    it.upstream->hang = true;
  }
  AllowLongRequests();
  SendApart("open", Seconds(20));
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  members[0].changed = members[0].settings;
  members[0].changed->stopGrace = Seconds(4);
  members[0].node->Stop();
  CHECK(RunUntil([&] { return members[0].loop->stopped(); }, Seconds(4)));
  CHECK(answers["open"].status == 502);
}

// Guards against a long grace period whose half lies beyond the time in which callers still arrive
// without knowing of the stop.
TEST_CASE_FIXTURE(
  NodeWithLongGrace,
  "Planned stop, request before half of the grace, is run only if it ends in the grace")
{
  for (Member& it : members) {
    it.upstream->largeAnswer = false;
  }
  AllowLongRequests();
  StopAndWait(Milliseconds(3'050));
  SendApart("long", Seconds(20));
  SendApart("short", Seconds(2));
  REQUIRE(RunUntil([&] { return answers.size() == 2; }, Seconds(2)));
  CHECK(answers["long"].status == 503);
  CHECK(FindHeader(answers["long"].headers, "Retry-After") != nullptr);
  CHECK(answers["short"].status == 200);
  CHECK(ReceivedRequests() == 1);
}

TEST_CASE_FIXTURE(
  StoppedNode,
  "Planned stop, another node takes a large result slowly, its caller gets it whole")
{
  AllowLongRequests();
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
