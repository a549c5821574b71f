#include "sidecar/SidecarFleet.h"

using namespace mustardwinch;
using test::SidecarFleet;

namespace {

constexpr Milliseconds kBound{ 2'000 };

/** Nodes that accept a key only if their configuration was confirmed within the bound. */
struct StrictSidecarFleet : SidecarFleet
{
  StrictSidecarFleet()
    : SidecarFleet(RevocationSettings{ true, kBound })
  {
  }

  void Wait(Milliseconds aTime)
  {
    RunUntil([] { return false; }, aTime);
  }
};

} // namespace

TEST_CASE_FIXTURE(StrictSidecarFleet,
                  "Strict revocation, store reachable, every node accepts keys all the time")
{
  const auto end = std::chrono::steady_clock::now() + 2 * kBound;
  for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
    CHECK(Call(i % members.size(), "GET", "/safe/x").status == 200);
    Wait(Milliseconds(50));
  }
}

TEST_CASE_FIXTURE(StrictSidecarFleet,
                  "Strict revocation, store gone for all, keys refused as not run until it is back")
{
  store.SetFault(soak::StandinStore::Fault::kSilent);
  Wait(kBound);
  const std::size_t runs = ReceivedRequests();
  for (std::size_t i = 0; i < members.size(); ++i) {
    const HttpAnswer answer = Call(i, "POST", "/unsafe/x");
    CHECK(answer.status == 503);
    CHECK(FindHeader(answer.headers, "Retry-After") != nullptr);
  }
  CHECK(ReceivedRequests() == runs);
  store.SetFault(soak::StandinStore::Fault::kNone);
  for (std::size_t i = 0; i < members.size(); ++i) {
    CHECK(RunUntil([&] { return Call(i, "GET", "/safe/x").status == 200; }, Seconds(4)));
  }
}

TEST_CASE_FIXTURE(StrictSidecarFleet,
                  "Strict revocation, a node that only its peers reach, accepts and withdraws keys")
{
  Kill(members[2]);
  members[2].settings.platform = test::FreeAddress(); // nobody listens there
  Boot(members[2]);
  const Address readiness = members[2].settings.readiness;
  REQUIRE(RunUntil([&] { return Get(readiness, "/api/ready").status == 200; }));
  REQUIRE(RunUntil([&] { return Call(2, "GET", "/safe/x").status == 200; }));
  const auto end = std::chrono::steady_clock::now() + 2 * kBound;
  while (std::chrono::steady_clock::now() < end) {
    CHECK(Call(2, "GET", "/safe/x").status == 200);
    Wait(Milliseconds(50));
  }
  config["version"] = "r9";
  config["tenants"][0]["apiKeys"] = { "k-new" };
  store.Put("config", "main", config);
  Wait(kBound);
  CHECK(Call(2, "GET", "/safe/x").status == 401);
  CHECK(RunUntil([&] { return Call(2, "GET", "/safe/x", "k-new").status == 200; }, Seconds(2)));
}

TEST_CASE_FIXTURE(
  StrictSidecarFleet,
  "Strict revocation, newest configuration is malformed, the older one accepts no keys")
{
  nlohmann::json malformed = config;
  malformed["version"] = "r9";
  malformed["tenants"][0]["apiKeys"] = "k-new";
  store.Put("config", "main", malformed);
  Wait(kBound + kBound / 2);
  const std::size_t runs = ReceivedRequests();
  for (std::size_t i = 0; i < members.size(); ++i) {
    CHECK(Call(i, "GET", "/safe/x").status == 503);
  }
  CHECK(ReceivedRequests() == runs);
  config["version"] = "r10";
  store.Put("config", "main", config);
  CHECK(RunUntil([&] { return Call(0, "GET", "/safe/x").status == 200; }, Seconds(4)));
}

TEST_CASE_FIXTURE(StrictSidecarFleet,
                  "Strict revocation, node restarts without the store, accepts no key of a peer")
{
  store.SetFault(soak::StandinStore::Fault::kBusy);
  Wait(kBound);
  Kill(members[2]);
  Boot(members[2]);
  const Address readiness = members[2].settings.readiness;
  REQUIRE(RunUntil([&] { return Get(readiness, "/api/ready").status == 200; }));
  const std::size_t runs = ReceivedRequests();
  CHECK(Call(2, "GET", "/safe/x").status == 503);
  CHECK(ReceivedRequests() == runs);
}
