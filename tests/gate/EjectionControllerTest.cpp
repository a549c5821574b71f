#include "gate/EjectionController.h"

#include "GateFixture.h"
#include "health/FakeEjectionStore.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

/** Adds seven healthy peers of the upstream, each at a gate of its own. */
struct ControllerFixture : GateFixture
{
  ControllerFixture()
  {
    for (std::uint16_t i = 0; i < 7; ++i) {
      UpstreamRecord peer = gate.Records().at(0);
      peer.upstream.port = static_cast<std::uint16_t>(24100 + i);
      peer.gate.port = static_cast<std::uint16_t>(24200 + i);
      peer.failureDomain = i < 3 ? "fd1" : "fd2";
      peer.medianLatencyUs = 20'000;
      directory.ReplaceGate(peer.gate, { peer });
    }
    Step();
  }

  void Step()
  {
    directory.ReplaceGate(Address{ 0x7F000001, 24002 }, gate.Records());
    controller.Step();
  }

  /** Advances the clock, with an announcement and a step each second. */
  void RunFor(int aSeconds)
  {
    for (int i = 0; i < aSeconds; ++i) {
      clock.Advance(Seconds(1));
      gate.Announce(announcement);
      Step();
    }
  }

  void RunMany(int aCount, const AttemptResult& aResult)
  {
    for (int i = 0; i < aCount; ++i) {
      Submit("a");
      clock.Advance(Milliseconds(10));
      if (!started.empty()) {
        FinishOne(aResult);
      }
    }
  }

  void ReportFromIngress()
  {
    const UpstreamEvidence evidence{ upstream, 10, 5, 5 };
    controller.OnEvidence(Address{ 0x7F000001, 24300 }, evidence.Encode());
  }

  bool Ejected() { return gate.Status().at(0).ejected; }

  UpstreamDirectory directory;
  FakeEjectionStore store;
  EjectionUpdater updater{ store.Store(), "gate" };
  EjectionController controller{ clock,  gate,    directory,
                                 config, updater, Address{ 0x7F000001, 24002 } };
};

} // namespace

TEST_CASE_FIXTURE(ControllerFixture,
                  "EjectionController, failing only at its gate, not ejected until confirmed")
{
  RunMany(50, Failed(ResultCode::kAnswerCut));
  Step();
  CHECK_FALSE(Ejected());
  controller.OnProbe(upstream, true); // probes succeed, although requests of callers fail
  ReportFromIngress();
  Step();
  CHECK(Ejected());
  CHECK(store.Current().Contains(upstream, "i1"));
}

TEST_CASE_FIXTURE(ControllerFixture, "EjectionController, slow against its peers, ejected")
{
  RunMany(100, Good(Milliseconds(150)));
  ReportFromIngress();
  Step();
  REQUIRE(Ejected());
  CHECK(store.Current().Find(upstream)->reason == EjectionReason::kSlow);
}

TEST_CASE_FIXTURE(ControllerFixture, "EjectionController, trials pass, returns with a ramp")
{
  RunMany(50, Failed(ResultCode::kUpstreamFailed));
  ReportFromIngress();
  Step();
  REQUIRE(Ejected());
  for (int i = 0; i < 30 && Ejected(); ++i) {
    RunFor(1);
    Submit("a", Seconds(10), true);
    if (!started.empty()) {
      FinishOne();
    }
  }
  CHECK_FALSE(Ejected());
  CHECK(store.Current().Ejections().empty());
  CHECK(gate.Status().at(0).limit == 1);
}

TEST_CASE_FIXTURE(
  ControllerFixture,
  "EjectionController, platform unreachable, ejects nothing but releases for the floor")
{
  SUBCASE("no new ejection")
  {
    store.unavailable = true;
    RunMany(50, Failed(ResultCode::kUpstreamFailed));
    ReportFromIngress();
    Step();
    CHECK_FALSE(Ejected());
  }
  SUBCASE("release")
  {
    RunMany(50, Failed(ResultCode::kUpstreamFailed));
    ReportFromIngress();
    Step();
    REQUIRE(Ejected());
    store.unavailable = true;
    Configure({ CapacityFloor{ "booking", 35 },
                FailureDomainState{ "fd1", FailureDomainState::State::kOut, 0 } });
    RunFor(1);
    CHECK_FALSE(Ejected());
    store.unavailable = false;
    RunFor(6);
    CHECK_FALSE(Ejected()); // the release has been written to the platform
    CHECK(store.Current().Ejections().empty());
  }
}

TEST_CASE_FIXTURE(ControllerFixture,
                  "EjectionController, node restarts, reads the ejection of its upstream")
{
  const EjectionSet set = EjectionSet().With({ upstream, "i1", EjectionReason::kFailing, 20, 0 });
  updater.Update("booking", [&](const EjectionSet&) { return set; });
  EjectionController restarted{ clock,  gate,    directory,
                                config, updater, Address{ 0x7F000001, 24002 } };
  restarted.Step();
  CHECK(Ejected());
  announcement.instance = "i2";
  gate.Announce(announcement);
  CHECK_FALSE(Ejected());
  clock.Advance(Seconds(5));
  gate.Announce(announcement);
  restarted.Step();
  CHECK_FALSE(Ejected());
  CHECK(store.Current().Ejections().empty());
}
