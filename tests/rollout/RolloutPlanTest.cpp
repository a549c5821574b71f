#include "rollout/RolloutPlan.h"

#include <doctest/doctest.h>

#include <optional>

using namespace mustardwinch;

namespace {

/** A roll-out of a service with a constant load, planned twice a second. */
struct RolloutPlanFixture
{
  RolloutPlanFixture()
  {
    facts.duration = Seconds(16);
    facts.oldGates = 71;
    facts.newGates = 71;
    facts.targetKnown = true;
    facts.requestsPerSecond = 445;
  }

  static constexpr Milliseconds kRound{ 500 };

  /** @param aBadFrom when the version turns bad; known to the plan aReaction later */
  RolloutPlan Run(std::optional<Duration> aBadFrom, Milliseconds aReaction, Duration aUntil)
  {
    RolloutPlan plan;
    double exposed = 0;
    double requests = 0;
    for (facts.age = Seconds(0); facts.age < aUntil; facts.age += kRound) {
      facts.verdict = VersionVerdict::kUndecided;
      if (facts.age > Seconds(4)) {
        facts.verdict = VersionVerdict::kGood;
      }
      if (aBadFrom && facts.age >= *aBadFrom + aReaction) {
        facts.verdict = VersionVerdict::kBad;
      }
      plan = PlanRollout(facts, settings);
      const bool same = plan.phase == facts.phase && plan.share == facts.share;
      facts.inPhase = same ? facts.inPhase + kRound : kRound;
      facts.phase = plan.phase;
      facts.share = plan.share;
      const double sent = facts.requestsPerSecond * std::chrono::duration<double>(kRound).count();
      requests += sent;
      exposed += sent * plan.share;
      facts.requests = static_cast<std::uint64_t>(requests);
      facts.exposed = static_cast<std::uint64_t>(exposed);
    }
    return plan;
  }

  RolloutFacts facts;
  RolloutSettings settings{ true, 0.1, 50, Milliseconds(5'000) };
};

} // namespace

TEST_CASE_FIXTURE(RolloutPlanFixture,
                  "PlanRollout, good version, gets all requests in time to drain")
{
  const RolloutPlan plan = Run(std::nullopt, {}, Seconds(12));
  CHECK(plan.phase == RolloutPhase::kNewOnly);
}

TEST_CASE_FIXTURE(RolloutPlanFixture,
                  "PlanRollout, bad at any moment of the canary, is within the bound")
{
  for (Milliseconds bad(0); bad < Seconds(7); bad += Milliseconds(500)) {
    facts.phase = RolloutPhase::kWaiting;
    facts.share = 0;
    facts.exposed = 0;
    facts.requests = 0;
    CAPTURE(bad.count());
    const RolloutPlan plan = Run(bad, Milliseconds(2'000), Seconds(16));
    CHECK(plan.phase == RolloutPhase::kRolledBack);
    CHECK(static_cast<double>(facts.exposed) <= 0.1 * static_cast<double>(facts.requests) + 50);
  }
}

TEST_CASE_FIXTURE(RolloutPlanFixture, "PlanRollout, canary, its upstreams bear the usual load")
{
  facts.age = Seconds(3);
  const RolloutPlan plan = PlanRollout(facts, settings);
  CHECK(plan.phase == RolloutPhase::kCanary);
  CHECK(plan.gates == 4); // a twentieth of 71
}

TEST_CASE_FIXTURE(RolloutPlanFixture, "PlanRollout, no warm upstream yet, sends nothing")
{
  facts.newGates = 2;
  facts.age = Seconds(3);
  CHECK(PlanRollout(facts, settings) == RolloutPlan{});
}

TEST_CASE_FIXTURE(RolloutPlanFixture, "PlanRollout, version that nobody announces, is rolled back")
{
  facts.newGates = 0;
  facts.targetKnown = false;
  facts.age = Seconds(6);
  CHECK(PlanRollout(facts, settings).phase == RolloutPhase::kRolledBack);
}

TEST_CASE_FIXTURE(RolloutPlanFixture, "PlanRollout, too few requests to judge, is rolled back")
{
  facts.phase = RolloutPhase::kCanary;
  facts.age = Seconds(13);
  CHECK(PlanRollout(facts, settings).phase == RolloutPhase::kRolledBack);
}

TEST_CASE_FIXTURE(RolloutPlanFixture,
                  "PlanRollout, turns bad while the old one runs empty, is rolled back")
{
  facts.phase = RolloutPhase::kNewOnly;
  facts.verdict = VersionVerdict::kBad;
  CHECK(PlanRollout(facts, settings).phase == RolloutPhase::kRolledBack);
  facts.phase = RolloutPhase::kRolledBack;
  facts.verdict = VersionVerdict::kGood;
  CHECK(PlanRollout(facts, settings).phase == RolloutPhase::kRolledBack);
}
