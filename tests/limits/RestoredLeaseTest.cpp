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
  for (int i = 0; i < 3; ++i) {
    Step(first);
  }
  REQUIRE(IsGranting(first));
  stored.reset(); // the copy is older than the lease
  for (int i = 0; i < 30; ++i) {
    Step(second);
    const bool both = IsGranting(first) && IsGranting(second);
    CHECK_FALSE(both);
    now += Milliseconds(100);
  }
}
