#include "FleetFixture.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using sim::Fleet;
using sim::kNodes;

TEST_CASE_FIXTURE(
  Fleet,
  "Fleet, started from seeds, all nodes discover each other and load the configuration")
{
  CHECK(AllSee(kNodes));
  CHECK(AllHold("organisation/rossi", 1));
  CHECK(AllConfirmed());
}

TEST_CASE_FIXTURE(Fleet,
                  "Fleet, a key is withdrawn, the change is applied everywhere within two seconds")
{
  platform.Put(
    "organisation", "rossi", { { "burst", 5 }, { "keyHashes", nlohmann::json::array() } });
  CHECK(RunUntil([&] { return AllHold("organisation/rossi", 2); }, Seconds(2)));
}

TEST_CASE("Fleet, a node starts before its seeds, joins within two seconds of their start")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    sim::FleetSim fleet(3, 1, seed);
    fleet.StartAll();
    fleet.isBlocked = [](std::size_t aFrom, std::size_t aTo) { return aFrom == 0 || aTo == 0; };
    fleet.Run(Milliseconds(700));
    fleet.isBlocked = {};
    CAPTURE(seed);
    CHECK(fleet.RunUntil([&] { return fleet.AllSee(3); }, Seconds(2)));
  }
}

TEST_CASE_FIXTURE(Fleet, "Fleet, a status is written, no configuration changes")
{
  const std::uint64_t digest = Core(0).Config().Digest();
  platform.WriteStatus("organisation", "rossi");
  Run(Seconds(5));
  CHECK(AllRunning([&](std::size_t n) { return Core(n).Config().Digest() == digest; }));
  CHECK(AllHold("organisation/rossi", 1));
  CHECK(AllRunning([&](std::size_t n) { return State(n) == Freshness::kConfirmed; }));
}

TEST_CASE_FIXTURE(Fleet, "Fleet, 20 % packet loss, changes still reach all nodes")
{
  const std::uint64_t digest = Core(0).Config().Digest();
  lossRate = 0.2;
  for (int n = 0; n < 20; ++n) {
    platform.Put("organisation", "org-" + std::to_string(n), { { "burst", n } });
    Run(Milliseconds(200));
  }

  CHECK(RunUntil([&] { return AllHold("organisation/org-19", 21); }, Seconds(10)));
  CHECK(RunUntil(
    [&] {
      return AllRunning([&](std::size_t n) {
        return Core(n).Config().Digest() == Core(0).Config().Digest() &&
               Core(n).Config().Size() == 21;
      });
    },
    Seconds(20)));
  CHECK(Core(0).Config().Digest() != digest);
}

TEST_CASE_FIXTURE(Fleet, "Fleet, a VM is lost, all others mark it failed and remove its gate")
{
  Publish(5, UpstreamState::kReady);
  Run(Seconds(3));
  CHECK(AllRunning([&](std::size_t n) { return nodes[n].gates[AddressOf(5)] == 1; }));
  Kill(5);
  CHECK(RunUntil([&] { return AllSee(kNodes - 1); }, Seconds(15)));
  CHECK(AllRunning([&](std::size_t n) { return nodes[n].gates[AddressOf(5)] == 0; }));
}

TEST_CASE_FIXTURE(
  Fleet,
  "Fleet, a node leaves, is removed everywhere within two seconds and not marked failed")
{
  Core(5).Leave(clock.Now());
  Flush(5);
  Run(Milliseconds(50));
  Kill(5);
  CHECK(RunUntil([&] { return AllSee(kNodes - 1); }, Seconds(2)));
  CHECK(AllRunning([&](std::size_t n) { return Core(n).Members().Lost() == 0; }));
}

TEST_CASE_FIXTURE(Fleet,
                  "Fleet, direct pings between two nodes are blocked, no node is marked failed")
{
  isBlocked = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom + aTo == 3 && aFrom * aTo == 2;
  };
  Run(Seconds(120));
  CHECK(AllSee(kNodes));
  CHECK_FALSE(AnyReportedLost(1));
  CHECK_FALSE(AnyReportedLost(2));
}

TEST_CASE_FIXTURE(Fleet, "Fleet, a node is suspected temporarily, refutes and stays a member")
{
  isBlocked = [](std::size_t aFrom, std::size_t aTo) { return aFrom == 4 || aTo == 4; };
  Run(Milliseconds(3'200));
  isBlocked = nullptr;
  Run(Seconds(60));
  CHECK(AllSee(kNodes));
  CHECK_FALSE(AnyReportedLost(4));
  CHECK(Core(4).Members().Self().refutation > 0);
}

TEST_CASE_FIXTURE(Fleet, "Fleet, packets from a node are lost, only that node is marked failed")
{
  isBlocked = [](std::size_t aFrom, std::size_t) { return aFrom == 4; };
  const auto lost = [&] {
    for (std::size_t n = 0; n < kNodes; ++n) {
      if (n != 4 && Core(n).Members().LiveOthers() != kNodes - 2) {
        return false;
      }
    }
    return true;
  };
  CHECK(RunUntil(lost, Seconds(20)));
  CHECK(State(4) == Freshness::kIsolated);
  Run(Seconds(60));
  CHECK(lost());
  isBlocked = nullptr;
  CHECK(RunUntil([&] { return AllSee(kNodes) && AllConfirmed(); }, Seconds(60)));
}

TEST_CASE_FIXTURE(Fleet, "Fleet, packets to a node are lost, it spreads no failures")
{
  isBlocked = [](std::size_t, std::size_t aTo) { return aTo == 4; };
  // Blocked as well, since its own platform contact would confirm its configuration.
  platformBlocked = { 4 };
  Run(Seconds(60));
  CHECK(State(4) == Freshness::kIsolated);
  CHECK(AllRunning(
    [&](std::size_t n) { return n == 4 || Core(n).Members().LiveOthers() >= kNodes - 2; }));
  platformBlocked.clear();
  isBlocked = nullptr;
  CHECK(RunUntil([&] { return AllSee(kNodes) && AllConfirmed(); }, Seconds(60)));
}

TEST_CASE_FIXTURE(
  Fleet,
  "Fleet, a node is paused beyond the failure timeout, is isolated and then rejoins")
{
  Publish(4, UpstreamState::kReady);
  Run(Seconds(3));
  Pause(4);
  CHECK(RunUntil([&] { return AllSee(kNodes - 1); }, Seconds(20)));
  Run(Seconds(60));
  CHECK(State(4) == Freshness::kIsolated);
  Resume(4);
  CHECK(State(4) == Freshness::kIsolated);
  CHECK(RunUntil([&] { return AllSee(kNodes) && AllConfirmed(); }, Seconds(30)));
  CHECK(Core(4).Members().LiveOthers() == kNodes - 1);
  Run(Seconds(5));
  CHECK(AllRunning([&](std::size_t n) { return nodes[n].gates[AddressOf(4)] == 1; }));
}

TEST_CASE_FIXTURE(
  Fleet,
  "Fleet, a process restarts at its address, its old incarnation is reported as replaced")
{
  Publish(4, UpstreamState::kReady);
  Run(Seconds(3));
  const std::uint64_t old = Core(4).Members().Self().identity.incarnation;
  Kill(4);
  StartNode(4);
  Run(Seconds(5));
  CHECK(AllRunning([&](std::size_t n) {
    const auto& changes = nodes[n].changes;
    return n == 4 || (!changes.empty() && changes.back().replaced == old);
  }));
  CHECK(AllRunning([&](std::size_t n) { return n == 4 || nodes[n].gates[AddressOf(4)] == 0; }));
}

TEST_CASE_FIXTURE(Fleet, "Fleet, a partition into halves heals after an hour, the halves merge")
{
  isBlocked = [](std::size_t aFrom, std::size_t aTo) { return aFrom % 2 != aTo % 2; };
  CHECK(RunUntil([&] { return AllSee(kNodes / 2); }, Seconds(120)));
  Run(Seconds(3'600));
  platform.Put("organisation", "bianchi", { { "burst", 1 } });
  Run(Seconds(2));
  isBlocked = nullptr;
  CHECK(RunUntil([&] { return AllSee(kNodes) && AllConfirmed(); }, Seconds(60)));
}

TEST_CASE_FIXTURE(
  Fleet,
  "Fleet, the platform is unreachable for hours, no node is isolated and new nodes load")
{
  platform.unreachable = true;
  Kill(7);
  Run(Seconds(20));
  CHECK(AllRunning([&](std::size_t n) { return State(n) == Freshness::kPlatformUnreachable; }));
  StartNode(7);
  Run(Seconds(10));
  CHECK(AllHold("organisation/rossi", 1));
  for (int n = 0; n < 4 * 360; ++n) {
    Run(Seconds(10));
    REQUIRE(AllRunning([&](std::size_t m) { return State(m) == Freshness::kPlatformUnreachable; }));
  }
  platform.unreachable = false;
  CHECK(RunUntil([&] { return AllConfirmed(); }, Seconds(15)));
}

TEST_CASE_FIXTURE(Fleet, "Fleet, a node is disconnected, is isolated within eight seconds")
{
  isBlocked = [](std::size_t aFrom, std::size_t aTo) { return aFrom == 4 || aTo == 4; };
  platformBlocked = { 4 };
  CHECK(RunUntil([&] { return State(4) == Freshness::kIsolated; }, Seconds(8)));
  for (int n = 0; n < 600; ++n) {
    Run(Seconds(1));
    REQUIRE(State(4) == Freshness::kIsolated);
  }
}

TEST_CASE_FIXTURE(Fleet, "Fleet, an organisation was deleted, a stale peer cannot restore it")
{
  isBlocked = [](std::size_t aFrom, std::size_t aTo) { return aFrom == 4 || aTo == 4; };
  platformBlocked = { 4 };
  platform.Delete("organisation", "rossi");
  Run(Seconds(30));
  CHECK_FALSE(Core(4).Config().Find("organisation/rossi")->IsDeleted());
  isBlocked = nullptr;
  CHECK(RunUntil([&] { return AllDeleted("organisation/rossi"); }, Seconds(30)));
  Run(Seconds(120));
  CHECK(AllDeleted("organisation/rossi"));
}

TEST_CASE_FIXTURE(Fleet,
                  "Fleet, the platform no longer has a tombstone, a list still deletes everywhere")
{
  platformBlocked = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 };
  platform.Delete("organisation", "rossi");
  platform.Put("organisation", "bianchi", { { "burst", 1 } });
  platform.objects.erase("organisation/rossi");
  Run(Seconds(20));
  platformBlocked.clear();
  for (std::size_t n = 0; n < kNodes; ++n) {
    Kill(n);
    StartNode(n);
    Run(Seconds(10));
  }
  CHECK(AllDeleted("organisation/rossi"));
}

TEST_CASE_FIXTURE(Fleet,
                  "Fleet, the platform returns an older state, nothing is reverted or confirmed")
{
  const auto before = platform.objects;
  platform.Put("organisation", "rossi", { { "burst", 9 } });
  platform.Put("organisation", "bianchi", { { "burst", 1 } });
  REQUIRE(RunUntil([&] { return AllHold("organisation/rossi", 2); }, Seconds(5)));
  Run(Seconds(5));
  platform.objects = before;
  platform.revision = 1;
  Run(Seconds(20));
  CHECK(AllHold("organisation/rossi", 2));
  CHECK(AllHold("organisation/bianchi", 3));
  CHECK(AllRunning([&](std::size_t n) { return State(n) == Freshness::kPlatformUnreachable; }));
}

TEST_CASE_FIXTURE(Fleet,
                  "Fleet, the watch of some nodes lags, they neither revert nor confirm from it")
{
  for (std::size_t n = 0; n < kNodes; n += 4) {
    stalePlatforms[n] = platform;
  }
  platform.Put("organisation", "rossi", { { "burst", 9 } });
  CHECK(RunUntil([&] { return AllHold("organisation/rossi", 2); }, Seconds(5)));
  CHECK(RunUntil([&] { return AllConfirmed(); }, Seconds(5)));
  for (std::size_t n = 0; n < kNodes; ++n) {
    if (n % 4 != 0) {
      platformBlocked.insert(n);
    }
  }
  Run(Seconds(20));
  CHECK(AllHold("organisation/rossi", 2));
  CHECK(AllRunning([&](std::size_t n) { return State(n) == Freshness::kPlatformUnreachable; }));
}

TEST_CASE_FIXTURE(Fleet, "Fleet, platform calls, are bounded by the number of watchers")
{
  platform.calls = 0;
  Run(Seconds(100));
  // Eight watchers, two per failure domain, each with at most two calls per second.
  CHECK(platform.calls <= 8 * 2 * 100);
}
