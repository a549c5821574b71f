#include "rollout/VersionJudge.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace mustardwinch;

namespace {

/** Upstreams of two versions that answer two routes for some seconds. */
struct VersionJudgeFixture
{
  struct Behaviour
  {
    double failures = 0.012;
    double slowdown = 1;
  };

  /** One upstream that gets aRequests of each route. @param aOther behaviour on the second route */
  void Add(bool aTarget, int aRequests, Behaviour aFirst, Behaviour aSecond)
  {
    InstanceEvidence evidence;
    evidence.instance = "i-" + std::to_string(instances.size());
    evidence.isTarget = aTarget;
    Run(evidence.routes["lookup"], aRequests, aFirst);
    Run(evidence.routes["booking"], aRequests, aSecond);
    instances.push_back(evidence);
  }

  void Run(RouteCounts& aCounts, int aRequests, Behaviour aBehaviour)
  {
    std::uniform_real_distribution<double> uniform;
    std::lognormal_distribution<double> work(std::log(250), 0.8);
    for (int i = 0; i < aRequests; ++i) {
      if (uniform(random) < aBehaviour.failures) {
        aCounts.AddFailure();
      } else {
        aCounts.AddSuccess(aBehaviour.slowdown * work(random));
      }
    }
  }

  void AddOld(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Add(false, 12, {}, {});
    }
  }

  void AddNew(int aCount, Behaviour aFirst, Behaviour aSecond, int aRequests = 12)
  {
    for (int i = 0; i < aCount; ++i) {
      Add(true, aRequests, aFirst, aSecond);
    }
  }

  std::mt19937 random{ 7 };
  std::vector<InstanceEvidence> instances;
};

constexpr VersionJudgeFixture::Behaviour kSound{};

} // namespace

TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, both versions sound, is good")
{
  AddOld(20);
  AddNew(4, kSound, kSound);
  CHECK(JudgeVersion(instances) == VersionVerdict::kGood);
}

TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, a third of its requests fail, is bad")
{
  AddOld(20);
  AddNew(4, { 0.33, 1 }, { 0.33, 1 });
  CHECK(JudgeVersion(instances) == VersionVerdict::kBad);
}

TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, fails on one route only, is bad")
{
  AddOld(20);
  AddNew(4, kSound, { 0.4, 1 });
  CHECK(JudgeVersion(instances) == VersionVerdict::kBad);
}

TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, answers four times slower, is bad")
{
  AddOld(20);
  AddNew(4, { 0.012, 4 }, { 0.012, 4 });
  CHECK(JudgeVersion(instances) == VersionVerdict::kBad);
}

TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, few requests, is undecided")
{
  AddOld(20);
  AddNew(4, { 0.33, 1 }, { 0.33, 1 }, 1);
  CHECK(JudgeVersion(instances) == VersionVerdict::kUndecided);
}

TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, no requests of the old version, is undecided")
{
  AddNew(4, kSound, kSound);
  CHECK(JudgeVersion(instances) == VersionVerdict::kUndecided);
}

// Gray upstreams of the old version made a bad one look as usual.
TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, old upstreams gray, a bad version is bad")
{
  AddOld(14);
  for (int i = 0; i < 6; ++i) {
    Add(false, 12, { 0.85, 1 }, { 0.85, 1 });
  }
  AddNew(4, { 0.33, 1 }, { 0.33, 1 });
  CHECK(JudgeVersion(instances) == VersionVerdict::kBad);
}

// A gray upstream of a good version must not roll it back.
TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, one of four new upstreams gray, is not bad")
{
  for (int seed = 0; seed < 50; ++seed) {
    random.seed(static_cast<unsigned>(seed));
    instances.clear();
    AddOld(20);
    AddNew(3, kSound, kSound);
    AddNew(1, { 0.85, 1 }, { 0.85, 1 });
    CHECK(JudgeVersion(instances) != VersionVerdict::kBad);
  }
}

TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, whole service fails more, is not bad")
{
  for (int i = 0; i < 20; ++i) {
    Add(false, 12, { 0.15, 1 }, { 0.15, 1 });
  }
  AddNew(4, { 0.15, 1 }, { 0.15, 1 });
  CHECK(JudgeVersion(instances) != VersionVerdict::kBad);
}

// The bound allows 50 bad answers before the last request must be sent.
TEST_CASE_FIXTURE(VersionJudgeFixture,
                  "JudgeVersion, bad versions of all kinds, found in 130 requests")
{
  const std::vector<std::pair<Behaviour, Behaviour>> kinds{
    { { 0.3, 1 }, { 0.3, 1 } },     { { 0.6, 1 }, kSound },   { kSound, { 0.5, 1 } },
    { { 0.012, 4 }, { 0.012, 4 } }, { kSound, { 0.012, 6 } },
  };
  for (const auto& [first, second] : kinds) {
    int found = 0;
    for (int seed = 0; seed < 40; ++seed) {
      random.seed(static_cast<unsigned>(seed));
      instances.clear();
      AddOld(20);
      AddNew(4, first, second, 16);
      found += JudgeVersion(instances) == VersionVerdict::kBad ? 1 : 0;
    }
    CHECK(found >= 36);
  }
}

TEST_CASE_FIXTURE(VersionJudgeFixture, "JudgeVersion, sound versions, hardly any is rolled back")
{
  int bad = 0;
  for (int seed = 0; seed < 200; ++seed) {
    random.seed(static_cast<unsigned>(seed));
    instances.clear();
    AddOld(20);
    AddNew(4, kSound, kSound, 16);
    bad += JudgeVersion(instances) == VersionVerdict::kBad ? 1 : 0;
  }
  CHECK(bad == 0);
}
