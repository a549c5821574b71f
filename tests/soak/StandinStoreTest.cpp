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
