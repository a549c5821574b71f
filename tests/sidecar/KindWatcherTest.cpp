#include "store/KindWatcher.h"
#include "store/EpochObserver.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace mustardwinch;

namespace {

StoreReply Done(std::uint64_t aEpoch, std::uint64_t aRevision)
{
  StoreReply reply;
  reply.status = StoreStatus::kDone;
  reply.epoch = aEpoch;
  reply.revision = aRevision;
  return reply;
}

/** A watcher whose calls wait for the test's replies. */
struct ScriptedStore
{
  struct ListCall
  {
    std::string after;
    Freshness freshness;
    ObjectStore::ReplyFn reply;
  };

  struct WatchCall
  {
    std::uint64_t revision;
    ObjectStore::ReplyFn reply;
  };

  ScriptedStore()
  {
    store.list = [this](StoredKind, const std::string& aAfter, Freshness aFreshness, auto aDone) {
      lists.push_back({ aAfter, aFreshness, std::move(aDone) });
    };
    store.watch = [this](StoredKind, std::uint64_t aRevision, Milliseconds, Freshness, auto aDone) {
      watches.push_back({ aRevision, std::move(aDone) });
    };
    watcher.Start();
  }

  /** A watch from this position is under way. */
  void Follow(std::uint64_t aEpoch, std::uint64_t aRevision)
  {
    lists.back().reply(Done(aEpoch, aRevision));
    REQUIRE(watches.size() == 1);
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    const auto end = std::chrono::steady_clock::now() + Seconds(3);
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(Milliseconds(20));
    }
    CHECK(aDone());
  }

  static StoreReply WithObject(StoreReply aReply, const std::string& aName)
  {
    aReply.objects.push_back({ aName, aReply.revision, {}, false });
    return aReply;
  }

  boost::asio::io_context loop{ 1 };
  Clock clock;
  ObjectStore store;
  std::vector<ListCall> lists;
  std::vector<WatchCall> watches;
  std::vector<std::vector<StoredObject>> listed;
  std::vector<StoredObject> changed;
  std::vector<StorePosition> positions;
  int currentReports = 0;
  KindWatcher watcher{ loop,
                       clock,
                       store,
                       StoredKind::kConfig,
                       { [this](const std::vector<StoredObject>& aObjects, StorePosition aAt) {
                          listed.push_back(aObjects);
                          positions.push_back(aAt);
                        },
                         [this](const StoredObject& aObject, StorePosition aAt) {
                           changed.push_back(aObject);
                           positions.push_back(aAt);
                         },
                         [](bool, const std::string&) {},
                         [this](TimePoint) { ++currentReports; } } };
};

} // namespace

// Guards against a change that nobody hears of: the new history has passed the watched revision.
TEST_CASE_FIXTURE(ScriptedStore, "KindWatcher, watch answered by a later history, lists the newest")
{
  Follow(1, 50);
  watches[0].reply(WithObject(Done(2, 60), "late"));
  CHECK(changed.empty());
  CHECK(currentReports == 0);
  REQUIRE(lists.size() == 2);
  CHECK(lists[1].freshness == Freshness::kNewest);
  lists[1].reply(WithObject(Done(2, 60), "all"));
  CHECK(positions.back() == StorePosition{ 2, 60 });
  CHECK(listed.back().front().epoch == 2);
  CHECK(currentReports == 1);
  REQUIRE(watches.size() == 2);
  CHECK(watches[1].revision == 60);
}

TEST_CASE_FIXTURE(ScriptedStore, "KindWatcher, told of a later history, drops its watch and lists")
{
  Follow(1, 50);
  watcher.OnEpoch(1);
  CHECK(lists.size() == 1);
  watcher.OnEpoch(2);
  REQUIRE(lists.size() == 2);
  watches[0].reply(WithObject(Done(1, 51), "of the lost history"));
  CHECK(changed.empty());
  lists[1].reply(Done(2, 12));
  REQUIRE(watches.size() == 2);
  CHECK(watches[1].revision == 12);
  watches[1].reply(WithObject(Done(2, 13), "new"));
  REQUIRE(changed.size() == 1);
  CHECK(positions.back() == StorePosition{ 2, 13 });
}

TEST_CASE_FIXTURE(ScriptedStore,
                  "KindWatcher, list of a replica of an earlier history, lists again")
{
  watcher.OnEpoch(2);
  lists[0].reply(WithObject(Done(1, 50), "lost"));
  CHECK(listed.empty());
  RunUntil([this] { return lists.size() == 2; });
  CHECK(lists[1].freshness == Freshness::kNewest);
  lists[1].reply(Done(2, 12));
  CHECK(listed.size() == 1);
}

TEST_CASE_FIXTURE(ScriptedStore, "KindWatcher, watch answered by an earlier history, asks it again")
{
  Follow(2, 12);
  watches[0].reply(WithObject(Done(1, 50), "lost"));
  CHECK(changed.empty());
  CHECK(currentReports == 0);
  RunUntil([this] { return watches.size() == 2; });
  CHECK(watches[1].revision == 12);
}

TEST_CASE_FIXTURE(ScriptedStore, "KindWatcher, pages of two histories, starts the list again")
{
  StoreReply page = WithObject(Done(1, 50), "first");
  page.more = true;
  lists[0].reply(page);
  REQUIRE(lists.size() == 2);
  CHECK(lists[1].after == "first");
  lists[1].reply(WithObject(Done(2, 12), "second"));
  REQUIRE(lists.size() == 3);
  CHECK(lists[2].after.empty());
  CHECK(listed.empty());
}

// Guards against lists without a pause at a store that has no history at all.
TEST_CASE_FIXTURE(ScriptedStore, "KindWatcher, history gone twice in a row, pauses between lists")
{
  Follow(1, 50);
  StoreReply gone;
  gone.status = StoreStatus::kHistoryGone;
  watches[0].reply(gone);
  REQUIRE(lists.size() == 2);
  lists[1].reply(Done(1, 50));
  watches[1].reply(gone);
  CHECK(lists.size() == 2);
  RunUntil([this] { return lists.size() == 3; });
}

TEST_CASE_FIXTURE(ScriptedStore, "KindWatcher, replies without an epoch, all are of one history")
{
  StoreReply reply = Done(0, 50);
  reply.epoch.reset();
  lists[0].reply(reply);
  reply.revision = 51;
  watches[0].reply(WithObject(reply, "next"));
  CHECK(changed.size() == 1);
  CHECK(lists.size() == 1);
}

TEST_CASE_FIXTURE(ScriptedStore, "EpochObserver, reply of each call, is heard before its handler")
{
  std::vector<std::string> order;
  store.create = [](StoredKind, const StoredObject&, const auto& aDone) { aDone(Done(3, 1)); };
  store.replace = store.create;
  store.remove = store.create;
  const ObjectStore observed =
    ObserveEpochs(store, [&](std::uint64_t aEpoch) { order.push_back(std::to_string(aEpoch)); });
  const auto handler = [&](const StoreReply&) { order.emplace_back("handler"); };
  observed.create(StoredKind::kMembers, {}, handler);
  observed.replace(StoredKind::kMembers, {}, handler);
  observed.remove(StoredKind::kMembers, {}, handler);
  observed.list(StoredKind::kMembers, "", Freshness::kNewest, handler);
  lists.back().reply(Done(4, 1));
  observed.watch(StoredKind::kMembers, 1, Milliseconds(1), Freshness::kNewest, handler);
  StoreReply silent;
  watches.back().reply(silent);
  CHECK(order == std::vector<std::string>{
                   "3", "handler", "3", "handler", "3", "handler", "4", "handler", "handler" });
}

// Guards against a node that hears nothing for seconds after a silent store is back.
TEST_CASE_FIXTURE(ScriptedStore,
                  "KindWatcher, calls that time out, are repeated without growing pauses")
{
  clock.Pause();
  Follow(1, 50);
  StoreReply silent;
  silent.detail = "no answer";
  for (std::size_t i = 0; i < 5; ++i) {
    clock.Advance(Seconds(2));
    const auto begin = std::chrono::steady_clock::now();
    watches.back().reply(silent);
    RunUntil([&] { return watches.size() == i + 2; });
    CHECK(std::chrono::steady_clock::now() - begin < Milliseconds(450));
  }
}

TEST_CASE_FIXTURE(ScriptedStore, "KindWatcher, calls that are refused at once, pauses grow")
{
  clock.Pause();
  Follow(1, 50);
  StoreReply refused;
  refused.status = StoreStatus::kUnavailable;
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < 3; ++i) {
    watches.back().reply(refused);
    RunUntil([&] { return watches.size() == i + 2; });
  }
  CHECK(std::chrono::steady_clock::now() - begin >= Milliseconds(250 + 500 + 1'000));
}
