#include "rollout/RolloutCoordinator.h"
#include "rollout/RolloutTable.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>

using namespace mustardwinch;

namespace {

/**
 * Two coordinators of one order, two other nodes and the store, driven by a sequence of events. No
 * messages are lost but those that an event names.
 */
class RolloutWalk
{
public:
  static constexpr int kEvents = 7;

  RolloutWalk()
  {
    order = { "booking", "v2", Seconds(12), 1 };
    stored.order = order;
    for (RolloutTable& it : nodes) {
      it.SetAll({ stored }, { 1, 1 }, now);
    }
    Restart(0);
    Restart(1);
  }

  void Apply(int aEvent)
  {
    switch (aEvent) {
      case 0:
        Round(0, true);
        break;
      case 1:
        Round(1, true);
        break;
      case 2:
        Round(0, false); // only the first node hears it
        break;
      case 3:
        isBad = true;
        break;
      case 4:
        now += Milliseconds(2'500);
        break;
      case 5:
        Restart(0); // another node takes over with what the first node was told
        break;
      default:
        Write(0);
        Write(1);
        break;
    }
    Check();
  }

  bool IsCompleted() const { return stored.State() == RolloutState::kCompleted; }

private:
  void Restart(std::size_t aIndex)
  {
    coordinators[aIndex] = std::make_unique<RolloutCoordinator>(order, settings, begin, now);
    if (const RolloutStep* step = nodes[0].StepOf("booking")) {
      coordinators[aIndex]->OnStep(*step, now);
    }
  }

  /** Reports arrive, the coordinator plans and tells its step. */
  void Round(std::size_t aIndex, bool aAll)
  {
    RolloutCoordinator& coordinator = *coordinators[aIndex];
    for (std::size_t i = 0; i < gates.size(); ++i) {
      coordinator.OnReport(MakeReport(i), now);
    }
    coordinator.Update(gates, now);
    const RolloutStep step = coordinator.Step(now);
    nodes[0].OnStep(step, now);
    if (aAll) {
      nodes[1].OnStep(step, now);
      coordinators[1 - aIndex]->OnStep(step, now);
    }
  }

  RolloutReport MakeReport(std::size_t aGate) const
  {
    const RolloutStep* step = nodes[1].StepOf("booking");
    RolloutReport report{
      "booking", 1, step != nullptr ? step->number : 0, gates[aGate].vm, gates[aGate].version, true,
      0,         {}
    };
    RouteCounts& counts = report.routes["r"];
    const bool isNew = gates[aGate].version == "v2";
    for (int i = 0; i < 30; ++i) {
      isBad&& isNew&& i % 2 == 0 ? counts.AddFailure() : counts.AddSuccess(200);
    }
    return report;
  }

  /** The status is written under the revision, so the first final one stays. */
  void Write(std::size_t aIndex)
  {
    if (stored.State() == RolloutState::kCompleted || stored.State() == RolloutState::kRolledBack) {
      return;
    }
    RolloutCoordinator& coordinator = *coordinators[aIndex];
    std::optional<RolloutState> state;
    if (coordinator.Step(now).phase == RolloutPhase::kRolledBack) {
      state = RolloutState::kRolledBack;
    } else if (coordinator.MayComplete(gates, now)) {
      state = RolloutState::kCompleted;
      CHECK_FALSE(nodes[1].MayRun("booking", "v1", "", now)); // an old gate may start nothing
    }
    if (state) {
      stored.status = RolloutStatus{ *state, "v2", "v1", "", 1 };
      for (RolloutTable& it : nodes) {
        it.Set(stored, { 1, ++revision }, now);
      }
    }
  }

  void Check()
  {
    for (RolloutTable& it : nodes) {
      const RolloutStep* step = it.StepOf("booking");
      const bool toldBack = step != nullptr && step->phase == RolloutPhase::kRolledBack;
      const bool completed = stored.State() == RolloutState::kCompleted;
      if ((toldBack && !completed) || stored.State() == RolloutState::kRolledBack) {
        CHECK_FALSE(it.MayRun("booking", "v2", "v2", now));
        CHECK_FALSE(it.DrawTarget("booking", now));
      }
      // Each service has at least one version that may run.
      CHECK((it.MayRun("booking", "v1", "", now) || it.MayRun("booking", "v2", "v2", now)));
      if (step == nullptr && !completed) {
        CHECK_FALSE(it.MayRun("booking", "v2", "v2", now));
      }
    }
    for (const auto& it : coordinators) {
      const RolloutStep* told = nodes[0].StepOf("booking");
      if (told != nullptr && isBad && it->Verdict() == VersionVerdict::kBad) {
        CHECK(it->Step(now).phase == RolloutPhase::kRolledBack);
      }
    }
  }

  RolloutOrder order;
  RolloutSettings settings{ true, 0.1, 50, Milliseconds(5'000) };
  TimePoint now{ Seconds(1'000) };
  const TimePoint begin = now;
  StoredRollout stored;
  std::uint64_t revision = 1;
  std::array<RolloutTable, 2> nodes;
  std::array<std::unique_ptr<RolloutCoordinator>, 2> coordinators;
  std::vector<RolloutCoordinator::LiveGate> gates{ { "a", "v1" }, { "b", "v1" }, { "c", "v1" },
                                                   { "d", "v2" }, { "e", "v2" }, { "f", "v2" } };
  bool isBad = false;
};

} // namespace

// Guards against exposure after a roll-back, and against a completion while old gates may start.
TEST_CASE("Rollout, all orders of steps, crashes and two coordinators, keep their promises")
{
  constexpr int kLength = 5;
  int sequences = 1;
  for (int i = 0; i < kLength; ++i) {
    sequences *= RolloutWalk::kEvents;
  }
  for (int code = 0; code < sequences; ++code) {
    RolloutWalk walk;
    for (int rest = code, i = 0; i < kLength; ++i, rest /= RolloutWalk::kEvents) {
      walk.Apply(rest % RolloutWalk::kEvents);
    }
  }
  MESSAGE(sequences, " orders of ", kLength, " events");
}

// A good version must arrive at the end although coordinators change.
TEST_CASE("Rollout, good version, coordinators change in between, completes")
{
  RolloutWalk walk;
  for (int i = 0; i < 8; ++i) {
    walk.Apply(i % 2);
    walk.Apply(4);
    walk.Apply(5);
  }
  walk.Apply(0);
  walk.Apply(1);
  walk.Apply(0);
  walk.Apply(6);
  CHECK(walk.IsCompleted());
}
