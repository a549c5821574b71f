#include "platform/StoreClient.h"
#include "FreeAddress.h"
#include "soak/StandinStore.h"
#include "store/KindWatcher.h"

#include <doctest/doctest.h>

#include <optional>
#include <thread>

using namespace mustardwinch;
using nlohmann::json;
using Fault = soak::StandinStore::Fault;

namespace {

struct StoreFixture
{
  StoreReply Wait(const std::function<void(ObjectStore::ReplyFn)>& aCall)
  {
    std::optional<StoreReply> reply;
    aCall([&](StoreReply aReply) { reply = std::move(aReply); });
    const auto end = std::chrono::steady_clock::now() + Seconds(5);
    while (!reply && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(Milliseconds(50));
    }
    REQUIRE(reply.has_value());
    return *reply;
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    const auto end = std::chrono::steady_clock::now() + Seconds(8);
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(Milliseconds(20));
    }
  }

  StoreReply List()
  {
    return Wait(
      [&](const auto& aDone) { calls.list(StoredKind::kConfig, "", Freshness::kNewest, aDone); });
  }

  StoreReply Create(const StoredObject& aObject)
  {
    return Wait([&](const auto& aDone) { calls.create(StoredKind::kMembers, aObject, aDone); });
  }

  boost::asio::io_context loop{ 1 };
  Clock clock;
  const Address address = test::FreeAddress();
  soak::StandinStore store{ loop, clock, address };
  std::shared_ptr<platform::StoreClient> client =
    std::make_shared<platform::StoreClient>(loop, address);
  ObjectStore calls = client->Calls();
};

} // namespace

TEST_CASE_FIXTURE(StoreFixture, "StoreClient, list, objects and revision of the store")
{
  store.Put("config", "main", { { "a", 1 } });
  const StoreReply reply = List();
  CHECK(reply.status == StoreStatus::kDone);
  REQUIRE(reply.objects.size() == 1);
  CHECK(reply.objects.front().name == "main");
  CHECK(reply.objects.front().spec == json{ { "a", 1 } });
  CHECK(reply.revision >= reply.objects.front().revision);
}

TEST_CASE_FIXTURE(StoreFixture, "StoreClient, faults of the store, each is mapped to its status")
{
  struct Row
  {
    Fault fault;
    StoreStatus expected;
  };
  for (const Row& it : { Row{ Fault::kBusy, StoreStatus::kUnavailable },
                         Row{ Fault::kTooMany, StoreStatus::kUnavailable },
                         Row{ Fault::kMalformed, StoreStatus::kUnclear },
                         Row{ Fault::kSilent, StoreStatus::kUnclear } }) {
    store.SetFault(it.fault);
    CHECK(List().status == it.expected);
  }
  store.SetFault(Fault::kNone);
  CHECK(List().status == StoreStatus::kDone);
}

TEST_CASE_FIXTURE(StoreFixture, "StoreClient, lost reply, the write is unclear and then a conflict")
{
  const StoredObject object{ "vm-1", 0, { { "link", "127.0.0.1:1" } }, false };
  store.SetFault(Fault::kLostReply);
  CHECK(Create(object).status == StoreStatus::kUnclear);
  store.SetFault(Fault::kNone);
  const StoreReply again = Create(object);
  CHECK(again.status == StoreStatus::kConflict);
  REQUIRE(again.objects.size() == 1);
  CHECK(again.objects.front().spec == object.spec);
}

TEST_CASE_FIXTURE(StoreFixture, "StoreClient, write on an older revision, conflict with the object")
{
  const StoredObject first{ "vm-1", 0, { { "n", 1 } }, false };
  const std::uint64_t revision = Create(first).objects.front().revision;
  const auto replace = [&](const StoredObject& aObject) {
    return Wait([&](const auto& aDone) { calls.replace(StoredKind::kMembers, aObject, aDone); });
  };
  CHECK(replace({ "vm-1", revision, { { "n", 2 } }, false }).status == StoreStatus::kDone);
  CHECK(replace({ "vm-1", revision, { { "n", 3 } }, false }).status == StoreStatus::kConflict);
  CHECK(replace({ "vm-2", 0, { { "n", 3 } }, false }).status == StoreStatus::kNotFound);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "KindWatcher, history compacted during a pending watch, receives the change")
{
  std::vector<json> seen;
  KindWatcher watcher(
    loop,
    clock,
    calls,
    StoredKind::kConfig,
    { [&](const std::vector<StoredObject>& aObjects, StorePosition) {
       for (const StoredObject& it : aObjects) {
         seen.push_back(it.spec);
       }
     },
      [&](const StoredObject& aObject, StorePosition) { seen.push_back(aObject.spec); },
      [](bool, const std::string&) {} });
  watcher.SetWait(Milliseconds(300));
  watcher.Start();
  RunUntil([&] { return store.Calls() >= 2; });
  store.SetFault(Fault::kSilent);
  RunUntil([&] { return store.Calls() >= 3; });
  store.Put("config", "main", 7);
  store.Compact();
  store.SetFault(Fault::kNone);
  RunUntil([&] { return !seen.empty() && seen.back() == json(7); });
  CHECK(seen.back() == json(7));
}

TEST_CASE_FIXTURE(StoreFixture,
                  "KindWatcher, store unavailable and back, reports each once and continues")
{
  std::vector<bool> reachable;
  int lists = 0;
  KindWatcher watcher(
    loop,
    clock,
    calls,
    StoredKind::kConfig,
    { [&](const std::vector<StoredObject>&, StorePosition) { ++lists; },
      [](const StoredObject&, StorePosition) {},
      [&](bool aReachable, const std::string&) { reachable.push_back(aReachable); } });
  store.SetFault(Fault::kBusy);
  watcher.Start();
  RunUntil([&] { return store.Calls() >= 3; });
  store.SetFault(Fault::kNone);
  RunUntil([&] { return lists > 0; });
  CHECK(lists == 1);
  CHECK(reachable == std::vector<bool>{ false, true });
}

TEST_CASE_FIXTURE(StoreFixture,
                  "KindWatcher, gap skipped, receives at once the changes since its list")
{
  int lists = 0;
  std::vector<std::string> seen;
  KindWatcher watcher(
    loop,
    clock,
    calls,
    StoredKind::kMembers,
    { [&](const std::vector<StoredObject>&, StorePosition) { ++lists; },
      [&](const StoredObject& aObject, StorePosition) { seen.push_back(aObject.name); },
      [](bool, const std::string&) {} },
    Seconds(60));
  watcher.Start();
  RunUntil([&] { return lists == 1; });
  Create({ "vm-1", 0, { { "n", 1 } }, false });
  Create({ "vm-2", 0, { { "n", 1 } }, false });
  CHECK(seen.empty());
  watcher.SkipGap();
  RunUntil([&] { return seen.size() == 2; });
  CHECK(seen == std::vector<std::string>{ "vm-1", "vm-2" });
}

TEST_CASE("StoreClient, reply and timeout of a call at the same time, the next call is not aborted")
{
  boost::asio::io_context clientLoop{ 1 };
  boost::asio::io_context storeLoop{ 1 };
  Clock clock;
  const Address address = test::FreeAddress();
  soak::StandinStore store{ storeLoop, clock, address };
  const auto client = std::make_shared<platform::StoreClient>(clientLoop, address);
  ObjectStore calls = client->Calls();
  std::optional<StoreReply> second;
  calls.list(StoredKind::kConfig, "", Freshness::kNewest, [&](const StoreReply&) {
    calls.list(StoredKind::kConfig, "", Freshness::kNewest, [&](StoreReply aReply) {
      second = std::move(aReply);
    });
  });
  const auto run = [&](boost::asio::io_context& aLoop, Milliseconds aTime) {
    const auto end = std::chrono::steady_clock::now() + aTime;
    while (!second && std::chrono::steady_clock::now() < end) {
      aLoop.poll();
    }
  };
  constexpr Milliseconds kBeyondCallTimeout{ 1'600 };
  run(clientLoop, Milliseconds(50));  // the request is sent
  run(storeLoop, kBeyondCallTimeout); // the client is blocked meanwhile
  std::thread storeThread([&] { storeLoop.run_for(Seconds(3)); });
  run(clientLoop, Seconds(3));
  storeLoop.stop();
  storeThread.join();
  REQUIRE(second);
  CHECK(second->status == StoreStatus::kDone);
}

TEST_CASE("KindWatcher, first list may lag, a list after lost history may not")
{
  boost::asio::io_context loop{ 1 };
  std::vector<Freshness> lists;
  std::vector<Freshness> watches;
  ObjectStore::ReplyFn answerWatch;
  ObjectStore store;
  store.list = [&](StoredKind, const std::string&, Freshness aFreshness, const auto& aDone) {
    lists.push_back(aFreshness);
    StoreReply reply;
    reply.status = StoreStatus::kDone;
    aDone(reply);
  };
  store.watch =
    [&](StoredKind, std::uint64_t, Milliseconds, Freshness aFreshness, const auto& aDone) {
      watches.push_back(aFreshness);
      answerWatch = aDone;
    };
  Clock clock;
  KindWatcher watcher(loop,
                      clock,
                      store,
                      StoredKind::kConfig,
                      { [](const auto&, StorePosition) {},
                        [](const auto&, StorePosition) {},
                        [](bool, const std::string&) {} });
  watcher.Start();
  StoreReply gone;
  gone.status = StoreStatus::kHistoryGone;
  const ObjectStore::ReplyFn answer = answerWatch;
  answer(gone);
  CHECK(lists == std::vector{ Freshness::kMayLag, Freshness::kNewest });
  CHECK(watches == std::vector{ Freshness::kNewest, Freshness::kNewest });
}

TEST_CASE(
  "KindWatcher, answers that may lag and new ones, only new ones confirm, as of the request")
{
  boost::asio::io_context loop(1);
  Clock clock;
  clock.Pause();
  ObjectStore store;
  StoreReply reply;
  reply.status = StoreStatus::kDone;
  store.list = [&](StoredKind, const std::string&, Freshness, const auto& aDone) { aDone(reply); };
  ObjectStore::ReplyFn answerWatch;
  store.watch = [&](StoredKind, std::uint64_t, Milliseconds, Freshness, const auto& aDone) {
    answerWatch = aDone;
  };
  std::vector<TimePoint> confirmed;
  KindWatcher watcher(loop,
                      clock,
                      store,
                      StoredKind::kConfig,
                      { [](const auto&, StorePosition) {},
                        [](const auto&, StorePosition) {},
                        [](bool, const std::string&) {},
                        [&](TimePoint aAsOf) { confirmed.push_back(aAsOf); } });
  watcher.Start(); // the first list may lag
  CHECK(confirmed.empty());
  const TimePoint sent = clock.Now();
  clock.Advance(Seconds(2));
  ObjectStore::ReplyFn answer = answerWatch;
  answer(reply);
  CHECK(confirmed == std::vector{ sent });
  watcher.SetWait(Seconds(30), Freshness::kMayLag);
  answer = answerWatch;
  answer(reply); // of the watch that was sent before
  CHECK(confirmed.size() == 2);
  answer = answerWatch;
  answer(reply);
  CHECK(confirmed.size() == 2);
}
