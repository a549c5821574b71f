#include "rollout/RolloutTable.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

/** A node that knows an order for v2 of "booking". */
struct RolloutTableFixture
{
  RolloutTableFixture()
  {
    stored.order = { "booking", "v2", Seconds(12), 1 };
    table.SetAll({ stored }, { 1, 10 }, now);
  }

  RolloutStep Step(std::uint32_t aNumber, RolloutPhase aPhase, double aShare) const
  {
    return { stored.order, aNumber, aPhase, aShare, { "vm-9" }, Milliseconds(0) };
  }

  int CountDrawn(int aRequests)
  {
    int n = 0;
    for (int i = 0; i < aRequests; ++i) {
      n += table.DrawTarget("booking", now) ? 1 : 0;
    }
    return n;
  }

  bool UsesNew() const { return table.MayRun("booking", "v2", "v2", now); }
  bool UsesOld() const { return table.MayRun("booking", "v1", "", now); }

  void WriteState(RolloutState aState)
  {
    stored.status = RolloutStatus{ aState, "v2", "v1", "", stored.order.id };
    table.Set(stored, { 1, ++revision }, now);
  }

  TimePoint now{ Seconds(1'000) };
  std::uint64_t revision = 10;
  StoredRollout stored;
  RolloutTable table;
};

} // namespace

TEST_CASE_FIXTURE(RolloutTableFixture,
                  "RolloutTable, order without a step, new version gets nothing")
{
  CHECK_FALSE(UsesNew());
  CHECK(UsesOld());
  CHECK(CountDrawn(100) == 0);
  CHECK(table.RuleFor("booking", true, now).forbidden == "v2");
}

TEST_CASE_FIXTURE(RolloutTableFixture,
                  "RolloutTable, canary step, its share goes to its gates only")
{
  table.OnStep(Step(1, RolloutPhase::kCanary, 0.05), now);
  CHECK(CountDrawn(1'000) == 50);
  const VersionRule rule = table.RuleFor("booking", true, now);
  CHECK(rule.Allows("v2", "vm-9"));
  CHECK_FALSE(rule.Allows("v2", "vm-8"));
  CHECK_FALSE(rule.Allows("v1", "vm-9"));
  CHECK_FALSE(table.RuleFor("booking", false, now).Allows("v2", "vm-9"));
  CHECK_FALSE(table.MayRun("booking", "v2", "", now)); // an ingress that knows nothing
}

// A node that was cut off went on sending to a version that had been rolled back.
TEST_CASE_FIXTURE(RolloutTableFixture,
                  "RolloutTable, step not told again, new version gets nothing")
{
  table.OnStep(Step(1, RolloutPhase::kRamp, 0.5), now);
  CHECK(UsesNew());
  now += Milliseconds(1'500);
  CHECK_FALSE(UsesNew());
  CHECK(CountDrawn(100) == 0);
  table.OnStep(Step(1, RolloutPhase::kRamp, 0.5), now); // the same step once more
  CHECK(UsesNew());
}

TEST_CASE_FIXTURE(RolloutTableFixture, "RolloutTable, rolled back, no later step takes it back")
{
  table.OnStep(Step(3, RolloutPhase::kRolledBack, 0), now);
  table.OnStep(Step(9, RolloutPhase::kNewOnly, 1), now);
  CHECK_FALSE(UsesNew());
  CHECK(UsesOld());
}

TEST_CASE_FIXTURE(RolloutTableFixture, "RolloutTable, only the new version, holds without news")
{
  table.OnStep(Step(3, RolloutPhase::kNewOnly, 1), now);
  now += Seconds(30);
  CHECK(UsesNew());
  CHECK_FALSE(UsesOld());
  table.OnStep(Step(9, RolloutPhase::kCanary, 0.05), now); // of a coordinator that was cut off
  CHECK_FALSE(UsesOld());
}

TEST_CASE_FIXTURE(RolloutTableFixture, "RolloutTable, final states of the store, win over steps")
{
  table.OnStep(Step(3, RolloutPhase::kNewOnly, 1), now);
  WriteState(RolloutState::kRolledBack);
  CHECK_FALSE(UsesNew());
  CHECK(UsesOld());
  WriteState(RolloutState::kCompleted);
  CHECK(UsesNew());
  CHECK_FALSE(UsesOld());
}

TEST_CASE_FIXTURE(RolloutTableFixture, "RolloutTable, order removed while it runs, as rolled back")
{
  table.OnStep(Step(3, RolloutPhase::kNewOnly, 1), now);
  table.Remove("booking", { 1, 11 });
  CHECK_FALSE(UsesNew());
  CHECK(UsesOld());
  CHECK(table.Running().empty());
}

TEST_CASE_FIXTURE(RolloutTableFixture, "RolloutTable, second order, begins without steps")
{
  table.OnStep(Step(3, RolloutPhase::kNewOnly, 1), now);
  WriteState(RolloutState::kCompleted);
  stored.order = { "booking", "v3", Seconds(12), 2 };
  table.Set(stored, { 1, 20 }, now);
  CHECK(table.MayRun("booking", "v2", "", now));
  CHECK_FALSE(table.MayRun("booking", "v3", "v3", now));
  table.OnStep({ { "booking", "v2", Seconds(12), 1 }, 9, RolloutPhase::kRolledBack, 0, {}, {} },
               now);
  CHECK(table.MayRun("booking", "v2", "", now)); // a step of the first order
}

TEST_CASE_FIXTURE(RolloutTableFixture, "RolloutTable, malformed order, changes nothing")
{
  stored.problem = "durationS";
  table.Set(stored, { 1, 20 }, now);
  CHECK(UsesNew());
  CHECK(UsesOld());
}

TEST_CASE_FIXTURE(RolloutTableFixture, "RolloutTable, list of an earlier position, is ignored")
{
  CHECK_FALSE(table.SetAll({}, { 1, 9 }, now));
  CHECK(table.Running().size() == 1);
}
