#include "soak/StandinStore.h"
#include "FreeAddress.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>

#include <optional>

using namespace mustardwinch;

namespace {

struct StandinStoreFixture
{
  /** Lists, and watches from the revision of the list; nothing if the watch is not answered. */
  std::optional<StoreStatus> ListAndWatch()
  {
    std::optional<StoreStatus> status;
    calls.list(StoredKind::kConfig, "", Freshness::kNewest, [&](const StoreReply& aList) {
      calls.watch(StoredKind::kConfig,
                  aList.revision,
                  Milliseconds(200),
                  Freshness::kNewest,
                  [&](const StoreReply& aWatch) { status = aWatch.status; });
    });
    const auto end = std::chrono::steady_clock::now() + Seconds(5);
    while (!status && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(Milliseconds(50));
    }
    return status;
  }

  std::optional<StoreStatus> WatchFrom(std::uint64_t aRevision)
  {
    std::optional<StoreStatus> status;
    calls.watch(StoredKind::kConfig,
                aRevision,
                Milliseconds(200),
                Freshness::kNewest,
                [&](const StoreReply& aWatch) { status = aWatch.status; });
    RunUntil([&] { return status.has_value(); });
    return status;
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    const auto end = std::chrono::steady_clock::now() + Seconds(5);
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(Milliseconds(50));
    }
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

TEST_CASE_FIXTURE(StandinStoreFixture,
                  "StandinStore, history gone, a watch from the next list's revision, is taken")
{
  store.Put("config", "main", 7);
  CHECK(ListAndWatch() == StoreStatus::kDone);
  store.Compact();
  CHECK(ListAndWatch() == StoreStatus::kDone);
}

TEST_CASE_FIXTURE(StandinStoreFixture,
                  "StandinStore, history gone, a watch from before, is told so")
{
  store.Put("config", "main", 7);
  std::optional<StoreStatus> status;
  calls.list(StoredKind::kConfig, "", Freshness::kNewest, [&](const StoreReply& aList) {
    store.Compact();
    calls.watch(StoredKind::kConfig,
                aList.revision,
                Milliseconds(200),
                Freshness::kNewest,
                [&](const StoreReply& aWatch) { status = aWatch.status; });
  });
  const auto end = std::chrono::steady_clock::now() + Seconds(5);
  while (!status && std::chrono::steady_clock::now() < end) {
    loop.run_one_for(Milliseconds(50));
  }
  CHECK(status == StoreStatus::kHistoryGone);
}

TEST_CASE_FIXTURE(StandinStoreFixture,
                  "StandinStore, back from a copy, objects and revision are its, the epoch rises")
{
  store.Put("config", "main", 7);
  store.TakeCopy();
  const std::uint64_t copied = store.Revision();
  store.Put("config", "main", 8);
  store.Put("config", "other", 9);
  store.RestoreCopy();
  CHECK(store.Revision() == copied);
  std::optional<StoreReply> list;
  calls.list(StoredKind::kConfig, "", Freshness::kNewest, [&](StoreReply aReply) {
    list = std::move(aReply);
  });
  RunUntil([&] { return list.has_value(); });
  REQUIRE(list);
  REQUIRE(list->objects.size() == 1);
  CHECK(list->objects.front().spec == nlohmann::json(7));
  CHECK(list->epoch == 2);
}

TEST_CASE_FIXTURE(StandinStoreFixture,
                  "StandinStore, back from a copy, a watch from a revision it lost, is told so")
{
  store.TakeCopy();
  store.Put("config", "main", 7);
  const std::uint64_t lost = store.Revision();
  store.RestoreCopy();
  CHECK(WatchFrom(lost) == StoreStatus::kHistoryGone);
  store.Put("config", "main", 7);
  CHECK(WatchFrom(lost) == StoreStatus::kDone);
}
