#include "fleet/MemberRegistrar.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace mustardwinch;

namespace {

/** A node whose writes to the store wait for the test's replies. */
struct RegisteredNode
{
  RegisteredNode()
  {
    const auto keep = [this](const char* aCall) {
      return [this, aCall](StoredKind, const StoredObject& aObject, ObjectStore::ReplyFn aDone) {
        writes.push_back({ aCall, aObject, std::move(aDone) });
      };
    };
    store.create = keep("create");
    store.replace = keep("replace");
    store.remove = keep("remove");
  }

  struct Write
  {
    std::string call;
    StoredObject object;
    ObjectStore::ReplyFn reply;
  };

  static MemberInfo Member(const std::string& aVm, std::uint16_t aPort)
  {
    return { aVm, { 0x7F000001, aPort }, "a", "booking", {} };
  }

  static StoredObject Entry(const MemberInfo& aMember,
                            std::uint64_t aEpoch,
                            std::uint64_t aRevision)
  {
    return { aMember.vm, aRevision, MemberSpec(aMember), false, aEpoch };
  }

  /** The store's answer to a write that it did. */
  static StoreReply Done(const StoredObject& aObject, std::uint64_t aEpoch)
  {
    StoreReply reply;
    reply.status = StoreStatus::kDone;
    reply.epoch = aEpoch;
    reply.objects = { aObject };
    return reply;
  }

  boost::asio::io_context loop{ 1 };
  Clock clock;
  ObjectStore store;
  std::vector<Write> writes;
  MemberInfo self = Member("vm-0", 1);
  MemberInfo peer = Member("vm-1", 2);
  LinkTable links{ loop, clock, self, {} };
  MemberRegistrar registrar{ loop, clock, store, self, links, [] {} };
};

} // namespace

// Guards against an entry that stays lost: its acknowledgement is of a history that is gone.
TEST_CASE_FIXTURE(RegisteredNode,
                  "Members, own entry acknowledged in an earlier epoch, written again")
{
  registrar.OnList({}, { 1, 10 });
  REQUIRE(writes.size() == 1);
  registrar.OnList({}, { 2, 8 }); // while the write is under way
  REQUIRE(writes.size() == 1);
  writes[0].reply(Done(Entry(self, 1, 11), 1));
  REQUIRE(writes.size() == 2);
  CHECK(writes[1].call == "create");
  writes[1].reply(Done(Entry(self, 2, 9), 2));
  CHECK(writes.size() == 2);
}

TEST_CASE_FIXTURE(RegisteredNode,
                  "Members, copy without a member, its link stays until it is listed")
{
  registrar.OnList({ Entry(self, 1, 9), Entry(peer, 1, 10) }, { 1, 10 });
  REQUIRE(links.Find("vm-1") != nullptr);
  registrar.OnList({ Entry(self, 2, 9) }, { 2, 9 });
  REQUIRE(links.Find("vm-1") != nullptr);
  CHECK_FALSE(links.Find("vm-1")->Member().IsStored());
  registrar.OnChange(Entry(peer, 2, 5)); // a revision that was given out before
  CHECK(links.Find("vm-1")->Member().at == StorePosition{ 2, 5 });
  registrar.OnList({ Entry(self, 2, 9) }, { 2, 11 });
  CHECK(links.Find("vm-1") == nullptr);
}

// Guards against removing the entry of a node that lives, by a revision of another history.
TEST_CASE_FIXTURE(RegisteredNode, "Members, predecessor of another epoch, is not removed")
{
  const MemberInfo before = Member("vm-9", 1); // has this node's address
  registrar.OnList({ Entry(self, 2, 9) }, { 2, 9 });
  REQUIRE(writes.empty());
  registrar.OnChange(Entry(before, 1, 12));
  CHECK(writes.empty());
  registrar.OnChange(Entry(before, 2, 13));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].call == "remove");
  CHECK(writes[0].object.revision == 13);
}

TEST_CASE_FIXTURE(RegisteredNode,
                  "Members, gone node that no entry tells of, is dropped in the end")
{
  clock.Pause();
  links.Put(peer); // as a peer's hello tells it
  registrar.Tick();
  CHECK(links.Find("vm-1") != nullptr);
  clock.Advance(Seconds(61));
  registrar.Tick();
  CHECK(links.Find("vm-1") == nullptr);
  CHECK(writes.empty());
}

// A roll-out ended more VMs than stayed: their entries took the majority from the others.
TEST_CASE_FIXTURE(RegisteredNode,
                  "Members, node leaves for good, its entry is removed and not written")
{
  registrar.OnList({}, { 1, 10 });
  REQUIRE(writes.size() == 1);
  StoredObject own = writes.front().object;
  own.revision = 11;
  registrar.OnChange(own);
  std::optional<StoredObject> removed;
  store.remove = [&](StoredKind, const StoredObject& aObject, const ObjectStore::ReplyFn& aDone) {
    removed = aObject;
    aDone({});
  };
  bool done = false;
  registrar.Leave([&] { done = true; });
  REQUIRE(removed);
  CHECK(removed->name == "vm-0");
  CHECK(removed->revision == 11);
  CHECK(done);
  own.removed = true;
  registrar.OnChange(own);
  CHECK(writes.size() == 1);
}
