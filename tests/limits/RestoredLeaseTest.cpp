#include "limits/LeaseState.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace mustardwinch;

namespace {

/** Two nodes and the lease of one slice, on a platform that loses its history. */
struct LostLease
{
  /** Performs the node's next action on the stored lease. */
  void Step(LeaseState& aNode)
  {
    const LeaseAction action = aNode.Next(context, now);
    if (std::holds_alternative<LeaseRead>(action)) {
      aNode.OnRead(stored, now);
    } else if (const auto* write = std::get_if<LeaseWrite>(&action)) {
      const std::uint64_t version = stored ? stored->version : 0;
      if (write->expectedVersion != version) {
        aNode.OnWritten(ResultCode::kPlatformConflict, now);
        return;
      }
      stored = StoredLease{ write->record, ++lastVersion, write->operation };
      aNode.OnWritten(*stored, now);
    }
  }

  /** The first node holds the lease. */
  void Acquire()
  {
    for (int i = 0; i < 3; ++i) {
      Step(first);
    }
    REQUIRE(IsGranting(first));
  }

  /** The platform comes back with this in place of the lease. */
  void Lose(const std::optional<StoredLease>& aCopy)
  {
    stored = aCopy;
    lastVersion += 100;
  }

  bool BothGrantFully() const
  {
    const bool full = now < first.FullEnd();
    return full && IsGranting(first) && IsGranting(second);
  }

  bool IsGranting(const LeaseState& aNode) const { return !aNode.ShareAt(now).IsEmpty(); }

  LeaseContext context{ true, [](const LeaseHolder&) { return false; } };
  TimePoint now{ Seconds(1'000) };
  std::optional<StoredLease> stored;
  std::uint64_t lastVersion = 0;
  LeaseState first{ { "vm-1", {}, 1 }, {} };
  LeaseState second{ { "vm-2", {}, 1 }, {} };
};

} // namespace

// Guards against a rate that is granted twice, when the platform loses a lease that is in force.
TEST_CASE_FIXTURE(LostLease,
                  "LeaseState, lease lost with the history, no second node grants beside")
{
  Acquire();
  Lose({});
  second.OnHistoryReplaced(now);
  for (int i = 0; i < 300; ++i) {
    if (i == 30) { // the holder learns of it late, but within its term
      first.OnHistoryReplaced(now);
    }
    if (i >= 30) {
      Step(first);
    }
    Step(second);
    const bool both = IsGranting(first) && IsGranting(second);
    CHECK_FALSE(both);
    now += Milliseconds(100);
  }
  CHECK(IsGranting(first));
}

TEST_CASE_FIXTURE(LostLease, "LeaseState, lease lost and its holder cut off, no full terms overlap")
{
  Acquire();
  Lose({});
  second.OnHistoryReplaced(now);
  for (int i = 0; i < 300; ++i) {
    Step(second);
    CHECK_FALSE(BothGrantFully());
    now += Milliseconds(100);
  }
  CHECK(IsGranting(second));
}

TEST_CASE_FIXTURE(LostLease,
                  "LeaseState, lease lost and its holder cut off, its tail is left to it")
{
  Acquire();
  Lose({});
  second.OnHistoryReplaced(now);
  for (int i = 0; i < 300; ++i) {
    Step(second);
    const bool both = IsGranting(first) && IsGranting(second);
    const ShareMask rest = first.ShareAt(now).Without(second.ShareAt(now));
    CHECK((!both || rest == first.ShareAt(now)));
    now += Milliseconds(100);
  }
}

TEST_CASE_FIXTURE(LostLease,
                  "LeaseState, holder whose lease is lost, grants on and writes it again")
{
  Acquire();
  Lose({});
  first.OnHistoryReplaced(now);
  second.OnHistoryReplaced(now);
  for (int i = 0; i < 300; ++i) {
    Step(second);
    Step(first);
    CHECK(IsGranting(first));
    CHECK_FALSE(IsGranting(second));
    now += Milliseconds(100);
  }
  REQUIRE(stored);
  CHECK(stored->record.holder == first.Self());
}

TEST_CASE_FIXTURE(LostLease,
                  "LeaseState, copy names an earlier holder, that one takes nothing back at once")
{
  stored = StoredLease{ {}, ++lastVersion, "early" };
  stored->record.holder = second.Self();
  stored->record.released = true;
  const StoredLease early = *stored;
  Acquire();
  StoredLease copy = early;
  copy.copied = true;
  copy.version = ++lastVersion;
  Lose(copy);
  first.OnHistoryReplaced(now);
  second.OnHistoryReplaced(now);
  for (int i = 0; i < 300; ++i) {
    Step(second);
    Step(first);
    CHECK(IsGranting(first));
    CHECK_FALSE(IsGranting(second));
    now += Milliseconds(100);
  }
}

TEST_CASE_FIXTURE(LostLease,
                  "LeaseState, lost lease whose holder is gone, is taken over in the end")
{
  Acquire();
  Lose({});
  second.OnHistoryReplaced(now);
  const TimePoint begin = now;
  while (!IsGranting(second) && now < begin + Seconds(60)) {
    Step(second);
    now += Milliseconds(100);
  }
  CHECK(IsGranting(second));
  CHECK(now - begin >= LeaseTerms{}.shortTerm);
  CHECK(second.Start().reserveFullBurst);
}
