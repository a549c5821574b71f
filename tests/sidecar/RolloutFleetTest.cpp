#include "sidecar/SidecarFleet.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using namespace mustardwinch::test;
using nlohmann::json;

namespace {

/** A fleet with one upstream of v1 and two of v2, which gets a large share so that few calls are
 * enough. */
struct RolloutFleet : SidecarFleet
{
  RolloutFleet()
    : SidecarFleet({}, { true, 0.8, 50, Milliseconds(5'000) })
  {
    members[1].version = "v2";
    members[2].version = "v2";
    AnnounceAll();
    RunFor(Milliseconds(1'600)); // until the upstreams no longer count as just started
  }

  void AnnounceAll()
  {
    for (Member& it : members) {
      REQUIRE(Announce(it, "ready") == 200);
    }
  }

  void RunFor(Milliseconds aTime)
  {
    RunUntil([] { return false; }, aTime);
  }

  void Order(const json& aSpec) { store.Put("rollouts", "booking", aSpec); }

  json StatusOf() const { return store.Get("rollouts", "booking").value("status", json()); }

  std::string StateOf() const
  {
    const json status = StatusOf();
    return status.is_object() ? status.value("state", std::string()) : std::string();
  }

  /** Calls without a pause until the state is reached. @return whether it was, within aLimit */
  bool CallUntil(const std::string& aState, Milliseconds aLimit)
  {
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (StateOf() != aState && std::chrono::steady_clock::now() < end) {
      Call(0, "GET", "/safe/x");
    }
    return StateOf() == aState;
  }

  void CallTimes(int aCount)
  {
    for (Member& it : members) {
      it.upstream->requests.clear();
    }
    for (int i = 0; i < aCount; ++i) {
      Call(0, "GET", "/safe/x");
    }
  }

  const json good{ { "service", "booking" }, { "targetVersion", "v2" }, { "durationS", 6 } };
};

} // namespace

TEST_CASE_FIXTURE(RolloutFleet,
                  "Rollout in a fleet, good version, is completed and old gets nothing")
{
  Order(good);
  CHECK(CallUntil("completed", Seconds(6)));
  INFO(StatusOf().dump());
  CHECK(StatusOf()["targetVersion"] == "v2");
  CHECK(StatusOf()["baseVersion"] == "v1");
  CallTimes(30);
  CHECK(members[0].upstream->requests.empty());
  CHECK(members[1].upstream->requests.size() + members[2].upstream->requests.size() == 30);
}

TEST_CASE_FIXTURE(RolloutFleet,
                  "Rollout in a fleet, version fails, is rolled back and gets nothing")
{
  members[1].upstream->error = true;
  members[2].upstream->error = true;
  Order(good);
  CHECK(CallUntil("rolled_back", Seconds(6)));
  CallTimes(30);
  CHECK(members[0].upstream->requests.size() == 30);
}

// Exposure went on while the store was away.
TEST_CASE_FIXTURE(RolloutFleet,
                  "Rollout in a fleet, version fails while the store is silent, gets nothing")
{
  Order(good);
  REQUIRE(CallUntil("running", Seconds(3)));
  store.SetFault(soak::StandinStore::Fault::kSilent);
  members[1].upstream->error = true;
  members[2].upstream->error = true;
  const auto end = std::chrono::steady_clock::now() + Seconds(4);
  while (std::chrono::steady_clock::now() < end) {
    Call(0, "GET", "/safe/x");
  }
  CallTimes(30);
  CHECK(members[0].upstream->requests.size() == 30);
  store.SetFault(soak::StandinStore::Fault::kNone);
  CHECK(CallUntil("rolled_back", Seconds(8)));
}

TEST_CASE_FIXTURE(RolloutFleet, "Rollout in a fleet, no order, all versions are used")
{
  CallTimes(60);
  for (const Member& it : members) {
    CHECK_FALSE(it.upstream->requests.empty());
  }
}

TEST_CASE_FIXTURE(RolloutFleet,
                  "Rollout in a fleet, malformed order, gets a reason and changes nothing")
{
  Order({ { "service", "booking" }, { "targetVersion", "v2" }, { "durationS", 0 } });
  CHECK(RunUntil([this] { return StateOf() == "rolled_back"; }, Seconds(4)));
  CHECK(StatusOf()["reason"].get<std::string>().find("durationS") != std::string::npos);
  CallTimes(60);
  for (const Member& it : members) {
    CHECK_FALSE(it.upstream->requests.empty());
  }
}
