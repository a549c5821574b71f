#include "GateFixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <queue>

using namespace mustardwinch;

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, more requests than slots, rest waits for a slot")
{
  for (int i = 0; i < 10; ++i) {
    Submit("a");
  }
  CHECK(started.size() == 7);
  CHECK(gate.Running() == 7);
  FinishOne();
  CHECK(started.size() == 7);
}

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, queue full, the longest queue loses an entry")
{
  for (int i = 0; i < 7 + 28 + 5; ++i) {
    Submit("big");
  }
  CHECK(Refused("big", ResultCode::kGateQueueFull) == 5);
  Submit("small");
  CHECK(Refused("small", ResultCode::kGateQueueFull) == 0);
  CHECK(Refused("big", ResultCode::kGateQueueFull) == 6);
}

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, cancelled while waiting, never starts")
{
  for (int i = 0; i < 7; ++i) {
    Submit("a");
  }
  const auto ticket = Submit("late");
  CHECK(gate.Cancel(upstream, ticket));
  CHECK_FALSE(gate.Cancel(upstream, ticket));
  while (!started.empty()) {
    FinishOne();
  }
  CHECK(finished["late"] == 0);
  CHECK(gate.Running() == 0);
}

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, deadline passed or too near, not started")
{
  for (int i = 0; i < 7; ++i) {
    Submit("a");
  }
  Submit("expired", Milliseconds(30));
  Submit("tooLate", Milliseconds(110));
  clock.Advance(Milliseconds(100));
  gate.Tick();
  CHECK(Refused("expired", ResultCode::kDeadlineBeforeRun) == 1);
  FinishOne(); // 10 ms remain, but a response takes 20 ms
  CHECK(Refused("tooLate", ResultCode::kDeadlineBeforeRun) == 1);
}

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, marked as leaving or out, queued and new refused")
{
  SUBCASE("leaving")
  {
    Configure({ LeavingUpstream{ "", upstream } });
  }
  SUBCASE("domain out")
  {
    Configure({ FailureDomainState{ "fd0", FailureDomainState::State::kOut, 0 } });
  }
  SUBCASE("draining")
  {
    announcement.state = UpstreamState::kDraining;
  }
  const auto marked = config.Current();
  const bool byConfig = announcement.state == UpstreamState::kReady;
  config.Replace(std::make_shared<ConfigSnapshot>());
  for (int i = 0; i < 9; ++i) {
    Submit("a");
  }
  REQUIRE(started.size() == 7);
  config.Replace(marked);
  if (byConfig) {
    FinishOne(); // no tick has run: the freed slot must not be filled
  } else {
    gate.Announce(announcement);
    FinishOne();
  }
  CHECK(Refused("a", ResultCode::kGateDraining) == 2);
  Submit("a");
  CHECK(Refused("a", ResultCode::kGateDraining) == 3);
  CHECK(gate.Running() == 6);
  CHECK(started.size() == 6);
}

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, node stops, waiting refused and started go on")
{
  for (int i = 0; i < 8; ++i) {
    Submit("a");
  }
  gate.StopAccepting();
  CHECK(Refused("a", ResultCode::kNodeStopping) == 1);
  CHECK(gate.Running() == 7);
}

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, announcements stop, refused and forgotten")
{
  Submit("a");
  clock.Advance(Seconds(6));
  Submit("a");
  CHECK(Refused("a", ResultCode::kGateUpstreamUnknown) == 1);
  CHECK(gate.Records().empty());
  FinishOne();
  gate.Tick();
  CHECK(gate.Status().empty());
}

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, new instance, ramps from one with old work counted")
{
  for (int i = 0; i < 3; ++i) {
    Submit("a");
  }
  announcement.instance = "i2";
  gate.Announce(announcement);
  CHECK(gate.Records().at(0).cold);
  Submit("a");
  CHECK(gate.Running() == 3);
  while (!started.empty() && finished["a"] < 3) {
    FinishOne();
  }
  CHECK(gate.Running() == 1);
  AnnounceFor(Seconds(11));
  CHECK_FALSE(gate.Records().at(0).cold);
}

TEST_CASE_FIXTURE(GateFixture, "GateScheduler, ejected, one idempotent trial at a time")
{
  gate.SetEjected(upstream, true);
  Submit("a", Seconds(10), true);
  CHECK(Refused("a", ResultCode::kGateEjected) == 1); // within the hold time
  clock.Advance(Seconds(4));
  gate.Announce(announcement);
  clock.Advance(Seconds(2));
  Submit("a", Seconds(10), false);
  CHECK(Refused("a", ResultCode::kGateEjected) == 2);
  for (int i = 0; i < 8; ++i) {
    Submit("a", Seconds(10), true);
    Submit("a", Seconds(10), true);
    CHECK(started.size() == 1);
    FinishOne();
    clock.Advance(Milliseconds(300));
  }
  CHECK(gate.Status().at(0).passedTrials);
  gate.SetEjected(upstream, false);
  CHECK(gate.Status().at(0).limit == 1); // returns with a ramp
}

namespace {

/**
 * Eight organisations share one upstream with a capacity of 350 requests a second. Each sends 40 a
 * second, but "big" sends 200. Returns the share of requests that were served within 500 ms, for
 * the worst-served organisation other than "big".
 */
template<typename Offer, typename Serve>
double WorstServed(Clock& aClock, Offer aOffer, Serve aServe, const std::map<std::string, int>& aOk)
{
  constexpr int kSeconds = 10;
  std::map<std::string, int> offered;
  for (int ms = 0; ms < kSeconds * 1000; ++ms) {
    for (int organisation = 0; organisation < 8; ++organisation) {
      const int interval = organisation == 0 ? 5 : 25;
      if ((ms + organisation) % interval == 0) {
        const std::string name = organisation == 0 ? "big" : "o" + std::to_string(organisation);
        ++offered[name];
        aOffer(name);
      }
    }
    aServe(ms);
    aClock.Advance(Milliseconds(1));
  }
  double worst = 1;
  for (const auto& [name, n] : offered) {
    const auto it = aOk.find(name);
    if (name != "big") {
      worst = std::min(worst, it == aOk.end() ? 0.0 : 1.0 * it->second / n);
    }
  }
  return worst;
}

} // namespace

TEST_CASE_FIXTURE(GateFixture,
                  "GateScheduler, one organisation at five times its rate, others unaffected")
{
  std::deque<std::string> fifo; // baseline: one bounded FIFO queue
  std::map<std::string, int> fifoServed;
  const double fifoShare = WorstServed(
    clock,
    [&](const std::string& aName) {
      if (fifo.size() < 28) {
        fifo.push_back(aName);
      }
    },
    [&](int aMs) {
      if (aMs % 3 == 0 && !fifo.empty()) {
        ++fifoServed[fifo.front()];
        fifo.pop_front();
      }
    },
    fifoServed);
  gate.Announce(announcement);
  const double fairShare = WorstServed(
    clock,
    [&](const std::string& aName) { Submit(aName, Milliseconds(500)); },
    [&](int aMs) {
      if (aMs % 1000 == 0) {
        gate.Announce(announcement);
      }
      if (aMs % 3 == 0 && !started.empty()) {
        FinishOne();
      }
    },
    finished);
  CHECK(fifoShare < 0.85);
  CHECK(fairShare > 0.95);
}

TEST_CASE("GateScheduler, random events, count exact and each request decided once")
{
  const bool ok =
    rc::check("counts", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& aEvents) {
      GateFixture it;
      std::map<GateScheduler::Ticket, int> decided;
      std::vector<GateScheduler::Ticket> tickets;
      int running = 0;
      int cancelled = 0;
      std::size_t submitted = 0;
      for (const auto& [event, value] : aEvents) {
        if (event % 4 <= 1) {
          const std::size_t id = submitted++;
          GateRequest request;
          request.organisation = std::to_string(value % 5);
          request.deadline = it.clock.Now() + Milliseconds(value);
          request.onDecision = [&, id](ResultCode aCode) {
            ++decided[id];
            running += aCode == ResultCode::kOk ? 1 : 0;
          };
          tickets.push_back(it.gate.Submit(it.upstream, std::move(request)));
        } else if (event % 4 == 2 && running > 0) {
          --running;
          it.gate.Finish(it.upstream, GateFixture::Good(Milliseconds(value)), "0");
        } else if (!tickets.empty()) {
          cancelled += it.gate.Cancel(it.upstream, tickets[value % tickets.size()]) ? 1 : 0;
        }
        it.clock.Advance(Milliseconds(value % 7));
        RC_ASSERT(it.gate.Running() == static_cast<std::size_t>(running));
        RC_ASSERT(running <= 7);
      }
      it.gate.StopAccepting();
      RC_ASSERT(decided.size() + cancelled == submitted);
      for (const auto& [id, n] : decided) {
        RC_ASSERT(n == 1);
      }
    });
  CHECK(ok);
}
