#include "sidecar/SidecarFleet.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using namespace mustardwinch::test;
using nlohmann::json;

namespace {

/** A change must be in force this long after its acknowledgement, as the users' pages say. */
constexpr Milliseconds kConfigBound{ 2'000 };
constexpr Milliseconds kEvacuationBound{ 5'000 };

/** A fleet whose store comes back from a copy. */
struct RestoredStore : SidecarFleet
{
  /** Writes objects that nobody uses, so that the store's revision grows. */
  void GrowRevision(const std::string& aKind, int aWrites = 20)
  {
    for (int i = 0; i < aWrites; ++i) {
      store.Put(aKind, "other", i);
    }
  }

  /** The nodes have seen revisions that the copy does not have. */
  void CopyThenGrow()
  {
    store.TakeCopy();
    GrowRevision("config");
    RunFor(Milliseconds(300));
  }

  void RunFor(Milliseconds aTime)
  {
    RunUntil([] { return false; }, aTime);
  }

  /** The configuration with one more route. */
  json ConfigWithRoute(const std::string& aVersion, const std::string& aPrefix) const
  {
    json spec = config;
    spec["version"] = aVersion;
    json rule = spec["listeners"][0]["rules"][0];
    rule["match"]["pathPrefix"] = aPrefix;
    spec["listeners"][0]["rules"].push_back(rule);
    return spec;
  }

  bool AllAnswer(const std::string& aTarget, unsigned aStatus)
  {
    bool all = true;
    for (std::size_t i = 0; i < members.size(); ++i) {
      all = all && Call(i, "GET", aTarget).status == aStatus;
    }
    return all;
  }

  /** Whether links connect all nodes to all gates. */
  bool AllReachAll()
  {
    for (std::size_t i = 0; i < members.size(); ++i) {
      const HttpAnswer metrics = Get(members[i].settings.metrics, "/metrics");
      if (metrics.body.find("mw_members_live 3") == std::string::npos) {
        return false;
      }
    }
    return true;
  }
};

} // namespace

// Guards against a confirmed route that is not served: the watches went on from a revision of the
// lost history, which the new one had passed.
TEST_CASE_FIXTURE(RestoredStore,
                  "Restored store, route written below the watched revision, is served in time")
{
  for (const bool cut : { true, false }) {
    CAPTURE(cut);
    const std::string version = cut ? "r5" : "r7";
    CopyThenGrow();
    if (cut) {
      store.CutWatches();
    }
    store.RestoreCopy();
    store.Put("config", "main", ConfigWithRoute(version, "/" + version + "/"));
    GrowRevision("config", 40);
    CHECK(RunUntil([&] { return AllAnswer("/" + version + "/x", 200); }, kConfigBound));
  }
}

// Guards against an evacuation that is not obeyed, since its revision is less than one of the lost
// history.
TEST_CASE_FIXTURE(RestoredStore,
                  "Restored store, evacuation at a revision given out again, is obeyed and ended")
{
  store.TakeCopy();
  GrowRevision("evacuations");
  RunFor(Milliseconds(300));
  store.RestoreCopy();
  store.Put("evacuations", "a", json::object());
  CHECK(RunUntil([&] { return AllAnswer("/safe/x", 503); }, kEvacuationBound));
  store.Remove("evacuations", "a");
  CHECK(RunUntil([&] { return AllAnswer("/safe/x", 200); }, kEvacuationBound));
}

// Guards against links that are closed, and entries that stay lost, because the copy is older than
// the nodes' entries.
TEST_CASE_FIXTURE(RestoredStore,
                  "Restored store, copy without the members, links stay and entries are rewritten")
{
  store.RestoreCopy(); // no copy was taken: all is gone
  store.Put("config", "main", config);
  bool reached = true;
  const auto rewritten = [&] {
    reached = reached && AllReachAll();
    return store.Count("fleet-members") == kNodes;
  };
  CHECK(RunUntil(rewritten, Seconds(4)));
  RunUntil(
    [&] {
      reached = reached && AllReachAll();
      return false;
    },
    Milliseconds(500));
  CHECK(reached);
}

// Guards against work for a failure domain while operators write its lost evacuation again.
TEST_CASE_FIXTURE(RestoredStore, "Restored store, evacuation after the copy, is obeyed throughout")
{
  store.TakeCopy();
  store.Put("evacuations", "a", json::object());
  REQUIRE(RunUntil([&] { return AllAnswer("/safe/x", 503); }, kEvacuationBound));
  store.RestoreCopy();
  store.Put("config", "main", ConfigWithRoute("r4", "/r4/"));
  CHECK(RunUntil([&] { return AllAnswer("/r4/x", 503); }, kConfigBound)); // listed anew by all
  CHECK(AllAnswer("/safe/x", 503));
  store.Put("evacuations", "a", json::object());
  RunFor(Milliseconds(1'500));
  CHECK(AllAnswer("/safe/x", 503));
  store.Remove("evacuations", "a");
  CHECK(RunUntil([&] { return AllAnswer("/safe/x", 200); }, kEvacuationBound));
}

TEST_CASE_FIXTURE(RestoredStore,
                  "Restored store, node starts at an older copy, has the fleet's state")
{
  store.TakeCopy();
  store.Put("config", "main", ConfigWithRoute("r4", "/r4/"));
  REQUIRE(RunUntil([&] { return AllAnswer("/r4/x", 200); }, kConfigBound));
  store.RestoreCopy();
  Kill(members[0]);
  Boot(members[0]);
  REQUIRE(RunUntil([&] { return Get(members[0].settings.readiness, "/api/ready").status == 200; }));
  CHECK(RunUntil([&] { return AllAnswer("/r4/x", 200); }, kConfigBound));
}

// Guards against changes that are lost when the store comes back several times in a row.
TEST_CASE_FIXTURE(RestoredStore, "Restored store, back from copies in series, each route is served")
{
  for (int i = 0; i < 4; ++i) {
    const std::string name = "r" + std::to_string(10 + i);
    CopyThenGrow();
    store.SetFault(soak::StandinStore::Fault::kBusy);
    store.CutWatches();
    RunFor(Milliseconds(400));
    store.RestoreCopy();
    store.Put("config", "main", ConfigWithRoute(name, "/" + name + "/"));
    GrowRevision("config", 30);
    store.SetFault(soak::StandinStore::Fault::kNone);
    CHECK(RunUntil([&] { return AllAnswer("/" + name + "/x", 200); }, kConfigBound));
  }
}
