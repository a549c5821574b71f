#include "membership/RecordStore.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace mustardwinch;

namespace {

struct Delivery
{
  std::string key;
  std::uint64_t version = 0;
  bool deleted = false;

  Record::Ptr Make() const
  {
    return Record::Make(key, { version, 0 }, deleted, "content " + std::to_string(version));
  }
};

/** A store without tombstones: the last delivery wins and a deletion leaves no trace. */
struct StoreWithoutTombstones
{
  std::map<std::string, std::uint64_t> versions;

  void Apply(const Delivery& aDelivery)
  {
    if (aDelivery.deleted) {
      versions.erase(aDelivery.key);
    } else {
      versions[aDelivery.key] = aDelivery.version;
    }
  }
};

std::vector<Delivery> GenerateDeliveries()
{
  const auto versions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 200));
  std::vector<Delivery> deliveries;
  for (const int it : versions) {
    // As on the platform, each version belongs to one write of one object.
    const auto version = static_cast<std::uint64_t>(it);
    deliveries.push_back({ "organisation/" + std::to_string(it % 7), version, it % 3 == 0 });
  }
  return deliveries;
}

} // namespace

TEST_CASE("Store without tombstones, a stale copy after a deletion, restores the record")
{
  StoreWithoutTombstones store;
  store.Apply({ "organisation/rossi", 1, false });
  store.Apply({ "organisation/rossi", 2, true });
  store.Apply({ "organisation/rossi", 1, false });
  CHECK(store.versions.contains("organisation/rossi"));
}

TEST_CASE("RecordStore, a stale copy after a deletion, stays deleted")
{
  RecordStore store;
  CHECK(store.Apply(Delivery{ "organisation/rossi", 1, false }.Make()));
  CHECK(store.Apply(Delivery{ "organisation/rossi", 2, true }.Make()));
  CHECK_FALSE(store.Apply(Delivery{ "organisation/rossi", 1, false }.Make()));
  CHECK(store.Find("organisation/rossi")->IsDeleted());
  CHECK(store.Apply(Delivery{ "organisation/rossi", 3, false }.Make()));
}

TEST_CASE("RecordStore, any order and repetition of deliveries, gives the same state and digest")
{
  CHECK(rc::check([] {
    const std::vector<Delivery> deliveries = GenerateDeliveries();
    std::vector<Delivery> shuffled = deliveries;
    const auto extra = *rc::gen::inRange<std::size_t>(0, deliveries.size() + 1);
    shuffled.insert(
      shuffled.end(), deliveries.begin(), deliveries.begin() + static_cast<long>(extra));
    std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
    RecordStore first;
    RecordStore second;
    std::map<std::string, std::uint64_t> newest;
    for (const Delivery& it : deliveries) {
      first.Apply(it.Make());
      newest[it.key] = std::max(newest[it.key], it.version);
    }
    for (const Delivery& it : shuffled) {
      second.Apply(it.Make());
    }
    RC_ASSERT(first.Digest() == second.Digest());
    RC_ASSERT(first.BucketDigests() == second.BucketDigests());
    RC_ASSERT(first.Size() == newest.size());
    for (const auto& [key, version] : newest) {
      RC_ASSERT(second.Find(key)->Version().major == version);
    }
  }));
}

TEST_CASE("RecordStore, a record is erased, digest is as if it had never been added")
{
  RecordStore store;
  store.Apply(Delivery{ "a", 1, false }.Make());
  const std::uint64_t digest = store.Digest();
  store.Apply(Delivery{ "b", 2, false }.Make());
  CHECK(store.Erase("b"));
  CHECK_FALSE(store.Erase("b"));
  CHECK(store.Digest() == digest);
  CHECK(store.Size() == 1);
}
