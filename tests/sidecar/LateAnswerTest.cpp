#include "FreeAddress.h"
#include "platform/PlatformAdapter.h"
#include "sidecar/AnsweredRequests.h"
#include "sidecar/Gate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace mustardwinch;
using boost::asio::ip::tcp;

namespace {

std::string Answer(const std::string& aStatus, const std::string& aHeaders)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Length: 0\r\n" + aHeaders + "\r\n";
}

std::string IdOf(const std::string& aId)
{
  return aId.empty() ? "" : "X-Request-Id: " + aId + "\r\n";
}

std::string Rejection(const std::string& aId)
{
  return Answer("503 Busy", IdOf(aId) + "X-Not-Executed: 1\r\n");
}

std::string Success(const std::string& aId)
{
  return Answer("200 OK", IdOf(aId) + "X-Response-Signature: s\r\n");
}

std::string Failure(const std::string& aId)
{
  return Answer("500 Failed", IdOf(aId) + "X-Response-Signature: s\r\n");
}

/** An upstream that gives the answers of a test. Before each answer it sends once more all that
 * came before on the connection. */
struct ScriptedUpstream
{
  struct Connection
  {
    explicit Connection(boost::asio::io_context& aLoop)
      : socket(aLoop)
    {
    }

    tcp::socket socket;
    std::string input;
    std::string output;
    std::string earlier; //!< all answers so far
  };

  explicit ScriptedUpstream(boost::asio::io_context& aLoop)
    : loop(aLoop)
    , address(test::FreeAddress())
    , acceptor(aLoop, { boost::asio::ip::address_v4(address.ip), address.port })
  {
    Accept();
  }

  void Accept()
  {
    const auto connection = std::make_shared<Connection>(loop);
    acceptor.async_accept(connection->socket, [this, connection](auto aError) {
      if (!aError) {
        ++connections;
        ReadRequest(connection);
        Accept();
      }
    });
  }

  void ReadRequest(const std::shared_ptr<Connection>& aConnection)
  {
    boost::asio::async_read_until(aConnection->socket,
                                  boost::asio::dynamic_buffer(aConnection->input),
                                  "\r\n\r\n",
                                  [this, aConnection](auto aError, std::size_t aCount) {
                                    if (aError || answers.empty()) {
                                      return;
                                    }
                                    aConnection->input.erase(0, aCount);
                                    aConnection->output = aConnection->earlier + answers.front();
                                    aConnection->earlier += answers.front();
                                    answers.erase(answers.begin());
                                    boost::asio::async_write(
                                      aConnection->socket,
                                      boost::asio::buffer(aConnection->output),
                                      [this, aConnection](auto aWriteError, auto) {
                                        if (!aWriteError) {
                                          ReadRequest(aConnection);
                                        }
                                      });
                                  });
  }

  boost::asio::io_context& loop;
  Address address;
  tcp::acceptor acceptor;
  std::vector<std::string> answers; //!< one a request, in the order in which requests arrive
  int connections = 0;
};

/** A gate beside a scripted upstream. */
struct LateAnswerFixture
{
  LateAnswerFixture()
  {
    gate.Announce({ "i-0", "booking", upstream.address, "a", 1, false, 1'000, 1 });
  }

  static Gate::Delegate MakeDelegate()
  {
    return { [](const std::string&) { return 0.0; },
             [](const std::string&) { return false; },
             [](bool) {} };
  }

  /** Sends a request and waits for its result. */
  GateCallResult Call(const std::string& aId, bool aIdempotent)
  {
    Submit(aId, aIdempotent);
    RunUntil([this] { return result.has_value(); });
    REQUIRE(result);
    return std::move(*result);
  }

  void Submit(const std::string& aId, bool aIdempotent, Milliseconds aRemaining = Seconds(4))
  {
    GateCall call;
    call.requestId = aId;
    call.service = "booking";
    call.request = { "POST", "/x", { { "X-Request-Id", aId } }, "" };
    call.remaining = aRemaining;
    call.latencyTarget = Seconds(1);
    call.idempotent = aIdempotent;
    call.lastResort = true;
    result.reset();
    gate.Submit(std::move(call), [this](GateCallResult aResult) { result = std::move(aResult); });
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    const auto end = std::chrono::steady_clock::now() + Seconds(5);
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(Milliseconds(10));
    }
  }

  CallOutcome Send(const std::string& aId) { return Call(aId, false).outcome; }

  unsigned SendForStatus(const std::string& aId, bool aIdempotent)
  {
    return Call(aId, aIdempotent).answer.status;
  }

  boost::asio::io_context loop{ 1 };
  Clock clock;
  std::optional<GateCallResult> result; //!< of the last request
  ScriptedUpstream upstream{ loop };
  Gate gate{ loop,
             clock,
             platform::MakePlatformBinding(loop, Address{ 0x7F000001, 1 }).names,
             ColdSettings{},
             MakeDelegate() };
};

} // namespace

// Guards against telling callers that a request has not run which runs: the late copy of the
// rejection bears the id of the repeat.
TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, late copy of a rejection, is not the answer to the repeat of its request")
{
  upstream.answers = { Rejection("q-1"), Success("q-1") };
  CHECK(Send("q-1") == CallOutcome::kShed);
  CHECK(Send("q-1") == CallOutcome::kAnswered);
}

TEST_CASE_FIXTURE(
  LateAnswerFixture,
  "Gate, late copy of a rejection after another request, is not the answer to the repeat")
{
  upstream.answers = { Rejection("q-1"), Rejection("q-2"), Success("q-1"), Success("q-2") };
  CHECK(Send("q-1") == CallOutcome::kShed);
  CHECK(Send("q-2") == CallOutcome::kShed);
  CHECK(Send("q-1") == CallOutcome::kAnswered);
  CHECK(Send("q-2") == CallOutcome::kAnswered);
}

TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, late copy of a failure, is not the answer to the repeat of its request")
{
  upstream.answers = { Failure("q-1"), Success("q-1") };
  constexpr bool kIdempotent = true;
  CHECK(SendForStatus("q-1", kIdempotent) == 500);
  CHECK(SendForStatus("q-1", kIdempotent) == 200);
}

TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, late copies of answers to other requests, the connection stays in use")
{
  upstream.answers = { Rejection("q-1"), Success("q-2"), Failure("q-3"), Success("q-4") };
  CHECK(Send("q-1") == CallOutcome::kShed);
  CHECK(Send("q-2") == CallOutcome::kAnswered);
  CHECK(Send("q-3") == CallOutcome::kAnswered);
  CHECK(Send("q-4") == CallOutcome::kAnswered);
  CHECK(upstream.connections == 1);
}

// Guards against believing a rejection that may belong to an earlier request.
TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, late copy of a rejection without an id, the request may have run")
{
  upstream.answers = { Rejection(""), Success("q-2") };
  CHECK(Send("q-1") == CallOutcome::kShed); // the first on its connection
  CHECK(Send("q-2") == CallOutcome::kFailed);
}

// Servers write such an answer before they close an idle connection.
TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, 408 without an id on a kept connection, the request may have run")
{
  upstream.answers = { Success("q-1"), Answer("408 Request Timeout", "") };
  CHECK(Send("q-1") == CallOutcome::kAnswered);
  CHECK(Send("q-2") == CallOutcome::kFailed);
}

TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, 421 of the instance that was expected, the request may have run")
{
  upstream.answers = { Answer("421 Misdirected", IdOf("q-1") + "X-Instance-Id: i-0\r\n") };
  CHECK(Send("q-1") == CallOutcome::kFailed);
  CHECK(gate.IsAvailable());
}

TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, refusals and late copies of an upstream, counted by whether believed")
{
  upstream.answers = { Rejection("q-1"), Success("q-2"), Rejection("") };
  Send("q-1");
  Send("q-2");
  Send("q-3"); // its rejection may be a copy of an earlier one
  const std::string text = gate.MetricsText();
  CHECK(text.find("mw_upstream_refusals_total{believed=\"yes\"} 1\n") != std::string::npos);
  CHECK(text.find("mw_upstream_refusals_total{believed=\"no\"} 1\n") != std::string::npos);
  CHECK(text.find("mw_upstream_answers_dropped_total 3\n") != std::string::npos);
}

// Guards against believing a late copy of a rejection when the frame of the repeat was late as
// well: the ingress still waits for a moment after its deadline.
TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, repeat that comes after the first deadline, late copy is not its answer")
{
  upstream.answers = { Rejection("q-1"), Success("q-1") };
  constexpr Milliseconds kRemaining{ 100 };
  Submit("q-1", false, kRemaining);
  RunUntil([this] { return result.has_value(); });
  const TimePoint late = clock.Now() + kRemaining + Milliseconds(20);
  RunUntil([&] { return clock.Now() >= late; });
  CHECK(Send("q-1") == CallOutcome::kAnswered);
}

// Guards against a gate that refuses all requests for good: a request for the instance before was
// under way when the new one announced itself, and the new one rightly rejects it.
TEST_CASE_FIXTURE(LateAnswerFixture,
                  "Gate, new instance rejects a request for the one before, stays in use")
{
  upstream.answers = { Answer("421 Misdirected", IdOf("q-1") + "X-Not-Executed: 1\r\n"),
                       Success("q-2") };
  Submit("q-1", false);
  RunUntil([this] { return upstream.answers.size() == 1; });
  REQUIRE_FALSE(result);
  gate.Announce({ "i-1", "booking", upstream.address, "a", 1, false, 2'000, 1 });
  RunUntil([this] { return result.has_value(); });
  REQUIRE(result);
  CHECK(result->outcome == CallOutcome::kRefused);
  CHECK(gate.IsAvailable());
  CHECK(Send("q-2") == CallOutcome::kAnswered);
}

TEST_CASE("AnsweredRequests, request may still be repeated, contained until then")
{
  AnsweredRequests requests;
  const TimePoint now{ Seconds(100) };
  CHECK(requests.Add(now, "q-1", now + Seconds(2)));
  CHECK(requests.Add(now, "q-1", now + Seconds(1))); // does not shorten
  CHECK(requests.Contains(now + Milliseconds(1'999), "q-1"));
  CHECK_FALSE(requests.Contains(now + Seconds(2), "q-1"));
  CHECK_FALSE(requests.Contains(now, "q-2"));
}

TEST_CASE("AnsweredRequests, too many, refused until some have passed")
{
  AnsweredRequests requests;
  const TimePoint now{ Seconds(100) };
  int added = 0;
  while (requests.Add(now, "q-" + std::to_string(added), now + Seconds(1))) {
    ++added;
  }
  CHECK(added == 64);
  CHECK(requests.Add(now + Seconds(1), "q-64", now + Seconds(2)));
}
