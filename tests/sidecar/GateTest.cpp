#include "sidecar/Gate.h"

#include "platform/PlatformAdapter.h"
#include "sidecar/TestUpstream.h"

#include <optional>
#include <thread>

using namespace mustardwinch;

namespace {

/** A gate and an upstream with one slot, each on its own event loop so that either can be stalled.
 */
struct GateFixture
{
  GateFixture() { gate.Announce({ "i-0", "booking", upstream.address, "a", 1, false, 1'000, 1 }); }

  Gate::Delegate MakeDelegate() const
  {
    return { [this](const std::string&) -> std::optional<double> {
              return configured ? std::optional(coldPerSecond) : std::nullopt;
            },
             [this](const std::string&) { return evacuated; },
             [](bool) {},
             [](const std::string&) { return std::string("/h"); } };
  }

  void Submit(const std::string& aId,
              Milliseconds aRemaining,
              std::optional<GateCallResult>& aResult)
  {
    GateCall call;
    call.requestId = aId;
    call.service = "booking";
    call.request = { "POST", "/x", { { "X-Request-Id", aId } }, "" };
    call.remaining = aRemaining;
    call.latencyTarget = Seconds(1);
    call.mayWait = true;
    gate.Submit(std::move(call), [&aResult](GateCallResult aDone) { aResult = std::move(aDone); });
  }

  Gate::Ticket SubmitWithoutBody(const std::string& aId, std::optional<GateCallResult>& aResult)
  {
    GateCall call;
    call.requestId = aId;
    call.service = "booking";
    call.request = { "POST", "/x", { { "X-Request-Id", aId } }, "" };
    call.remaining = Seconds(4);
    call.latencyTarget = Seconds(1);
    call.mayWait = true;
    call.bodyFollows = true;
    return gate.Submit(
      std::move(call),
      [&aResult](GateCallResult aDone) { aResult = std::move(aDone); },
      [this] { ++bodiesWanted; });
  }

  template<typename Done>
  void RunUntil(Done aDone)
  {
    const auto end = std::chrono::steady_clock::now() + Seconds(5);
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      if (upstreamLoop.poll() + gateLoop.poll() == 0) {
        std::this_thread::sleep_for(Milliseconds(1));
      }
    }
  }

  /** Simulates a node that gets no processor time for a while. */
  static void BlockThread(Milliseconds aTime) { std::this_thread::sleep_for(aTime); }

  boost::asio::io_context upstreamLoop{ 1 };
  boost::asio::io_context gateLoop{ 1 };
  Clock clock;
  test::TestUpstream upstream{ upstreamLoop, clock, "i-0" };
  Gate gate{ gateLoop,
             clock,
             platform::MakePlatformBinding(gateLoop, kUnused).names,
             ColdSettings{},
             MakeDelegate() };
  /** Sends requests one after another. @return how many were answered */
  int SubmitInTurn(int aCount)
  {
    int answered = 0;
    for (int i = 0; i < aCount; ++i) {
      std::optional<GateCallResult> result;
      Submit("s-" + std::to_string(i), Seconds(4), result);
      RunUntil([&] {
        gate.Tick();
        return result.has_value();
      });
      answered += result && result->outcome == CallOutcome::kAnswered ? 1 : 0;
    }
    return answered;
  }

  int bodiesWanted = 0;
  bool configured = true;
  bool evacuated = false;
  double coldPerSecond = 0;
  std::optional<GateCallResult> first;
  std::optional<GateCallResult> second;

  static constexpr Address kUnused{ 0x7F000001, 1 };
};

} // namespace

TEST_CASE_FIXTURE(
  GateFixture,
  "Gate, answer and deadline at the same time, next request on the connection is not aborted")
{
  upstream.hang = true;
  Submit("q-1", Milliseconds(200), first);
  Submit("q-2", Seconds(4), second);
  RunUntil([&] { return upstream.requests.size() == 1; });
  upstream.AnswerHeld();
  while (upstreamLoop.poll() != 0) {
  }
  BlockThread(Milliseconds(220));
  upstream.hang = false;
  RunUntil([&] { return second.has_value(); });
  REQUIRE(first);
  CHECK(first->outcome == CallOutcome::kAnswered);
  REQUIRE(second);
  CHECK(second->outcome == CallOutcome::kAnswered);
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, body follows, requested once a slot is free and forwarded complete")
{
  Submit("q-1", Seconds(4), first);
  const Gate::Ticket ticket = SubmitWithoutBody("q-2", second);
  CHECK(bodiesWanted == 0);
  RunUntil([&] { return first.has_value() && bodiesWanted == 1; });
  CHECK(gate.Running() == 1);
  gate.ProvideBody(ticket, "photograph");
  RunUntil([&] { return second.has_value(); });
  REQUIRE(second);
  CHECK(second->outcome == CallOutcome::kAnswered);
  CHECK(upstream.requests.back().body == "photograph");
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, body does not arrive, refused as not run and the slot is freed")
{
  SubmitWithoutBody("q-1", first);
  Submit("q-2", Seconds(4), second);
  RunUntil([&] { return second.has_value(); });
  REQUIRE(first);
  CHECK(first->outcome == CallOutcome::kRefused);
  CHECK_FALSE(first->reached);
  REQUIRE(second);
  CHECK(second->outcome == CallOutcome::kAnswered);
  CHECK(upstream.requests.size() == 1);
}

// Guards against a request that was let in before the upstream left and is sent seconds later, when
// its body has come.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, upstream leaves while a body is on its way, refused as not run")
{
  const Gate::Ticket ticket = SubmitWithoutBody("q-1", first);
  gate.Leave("i-0", 1'000);
  gate.ProvideBody(ticket, "photograph");
  RunUntil([&] { return first.has_value(); });
  REQUIRE(first);
  CHECK(first->outcome == CallOutcome::kRefused);
  CHECK_FALSE(first->reached);
  CHECK(first->reason == ResultCode::kGateDraining);
  CHECK(gate.Running() == 0);
  CHECK(upstream.requests.empty());
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, upstream leaves while parts of a body come, refused before the last one")
{
  const Gate::Ticket ticket = SubmitWithoutBody("q-1", first);
  gate.OnBodyPart(ticket);
  CHECK_FALSE(first);
  gate.Leave("i-0", 1'000);
  gate.OnBodyPart(ticket);
  REQUIRE(first);
  CHECK(first->reason == ResultCode::kGateDraining);
  gate.ProvideBody(ticket, "late"); // the parts that were on their way
  CHECK(gate.Running() == 0);
  CHECK(upstream.requests.empty());
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, domain evacuated while a body is on its way, refused as not run")
{
  const Gate::Ticket ticket = SubmitWithoutBody("q-1", first);
  evacuated = true;
  gate.OnRestriction();
  gate.ProvideBody(ticket, "photograph");
  RunUntil([&] { return first.has_value(); });
  REQUIRE(first);
  CHECK(first->reason == ResultCode::kGateEvacuated);
  CHECK_FALSE(first->reached);
  CHECK(upstream.requests.empty());
}

// Guards against an address that was used again: the newcomer would run a request of another
// service, and the caller would take its answer for a success.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, another service takes the address while a body is on its way, refused")
{
  const Gate::Ticket ticket = SubmitWithoutBody("q-1", first);
  upstream.instance = "i-9";
  gate.Announce({ "i-9", "dispatch", upstream.address, "a", 1, false, 2'000, 1 });
  gate.ProvideBody(ticket, "photograph");
  RunUntil([&] { return first.has_value(); });
  REQUIRE(first);
  CHECK(first->reason == ResultCode::kGateUpstreamUnknown);
  CHECK_FALSE(first->reached);
  CHECK(upstream.requests.empty());
}

TEST_CASE_FIXTURE(GateFixture, "Gate, stops while a body is on its way, the request is still run")
{
  const Gate::Ticket ticket = SubmitWithoutBody("q-1", first);
  gate.StopAccepting();
  gate.ProvideBody(ticket, "photograph");
  RunUntil([&] { return first.has_value(); });
  REQUIRE(first);
  CHECK(first->outcome == CallOutcome::kAnswered);
}

TEST_CASE_FIXTURE(GateFixture, "Gate, cancelled before the body arrives, the slot is freed")
{
  const Gate::Ticket ticket = SubmitWithoutBody("q-1", first);
  Submit("q-2", Seconds(4), second);
  gate.Cancel(ticket);
  gate.ProvideBody(ticket, "late");
  RunUntil([&] { return second.has_value(); });
  CHECK_FALSE(first);
  REQUIRE(second);
  CHECK(second->outcome == CallOutcome::kAnswered);
  CHECK(upstream.requests.size() == 1);
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, expected wait exceeds what the latency target allows, refused at once")
{
  upstream.hang = true;
  Submit("q-0", Seconds(4), first);
  std::vector<std::optional<GateCallResult>> later(6);
  for (auto& it : later) {
    Submit("q", Seconds(4), it);
  }
  CHECK_FALSE(later.front()); // 300 ms per request; the first queued one may wait 400 ms
  REQUIRE(later.back());
  CHECK(later.back()->outcome == CallOutcome::kRefused);
  CHECK(later.back()->wait >= Milliseconds(400));
}

TEST_CASE_FIXTURE(
  GateFixture,
  "Gate, connected and connect timeout at the same time, the request is not aborted")
{
  Submit("q-1", Seconds(4), first);
  BlockThread(Milliseconds(750));
  RunUntil([&] { return first.has_value(); });
  REQUIRE(first);
  CHECK(first->outcome == CallOutcome::kAnswered);
}

// Guards against a cold upstream without a bound, beside a node that has just started and reaches
// neither the store nor a peer.
TEST_CASE_FIXTURE(GateFixture, "Gate, no configuration yet, starts nothing and is not available")
{
  configured = false;
  CHECK_FALSE(gate.IsAvailable());
  Submit("q-1", Seconds(2), first);
  REQUIRE(first);
  CHECK(first->outcome == CallOutcome::kRefused);
  CHECK(first->reason == ResultCode::kGateUpstreamUnknown);
  configured = true;
  CHECK(gate.IsAvailable());
  Submit("q-2", Seconds(2), second);
  RunUntil([&] { return second.has_value(); });
  REQUIRE(second);
  CHECK(second->outcome == CallOutcome::kAnswered);
}

// Requests were refused for want of starts while most slots were free.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, warm upstream with short requests, is asked and gets more than the bound")
{
  coldPerSecond = 10; // 14.4 starts a second without proof
  const auto begin = std::chrono::steady_clock::now();
  CHECK(SubmitInTurn(30) == 30);
  CHECK(upstream.healthRequests >= 2);
  CHECK(std::chrono::steady_clock::now() - begin < Seconds(2));
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, upstream that turned cold unannounced, tells so and gets few requests")
{
  coldPerSecond = 10;
  upstream.coldMs = 60'000;
  gate.Announce({ "i-0", "booking", upstream.address, "a", 20, false, 1'000, 2 });
  const auto begin = std::chrono::steady_clock::now();
  std::vector<std::optional<GateCallResult>> results(40);
  for (std::size_t i = 0; i < results.size(); ++i) {
    Submit("c-" + std::to_string(i), Seconds(4), results[i]);
  }
  RunUntil([&] { return std::chrono::steady_clock::now() - begin > Milliseconds(900); });
  CHECK(upstream.healthRequests >= 1);
  CHECK(upstream.requests.size() <= 14);
}
