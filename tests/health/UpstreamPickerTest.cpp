#include "health/UpstreamPicker.h"

#include "HealthFixture.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

struct PickerFixture : HealthFixture
{
  /** Picks aCount times, reports each result before the next pick, and counts picks by upstream. */
  std::map<Address, int> Run(int aCount)
  {
    std::map<Address, int> counts;
    for (int i = 0; i < aCount; ++i) {
      clock.Advance(Milliseconds(1));
      const auto record = picker.Pick("booking", *config, {}, true);
      REQUIRE(record);
      ++counts[record->upstream];
      picker.Report(*record, ResultOf(*record));
    }
    return counts;
  }

  AttemptResult ResultOf(const UpstreamRecord& aRecord)
  {
    const auto it = results.find(aRecord.upstream);
    return it == results.end() ? Answer(Milliseconds(10)) : it->second;
  }

  std::map<Address, AttemptResult> results;
  UpstreamPicker picker{ clock, directory, "fd0", 7 };
};

} // namespace

TEST_CASE_FIXTURE(PickerFixture, "UpstreamPicker, leaving or out or tried, never picked")
{
  AddUpstreams(8);
  Configure({ LeavingUpstream{ At(0).ToString(), At(0) },
              FailureDomainState{ "fd1", FailureDomainState::State::kOut, 1000 } });
  UpstreamRecord draining = Record(2);
  draining.state = UpstreamState::kDraining;
  Put(draining);
  for (int i = 0; i < 200; ++i) {
    const auto it = picker.Pick("booking", *config, { At(3) });
    REQUIRE(it);
    CHECK(it->upstream != At(0));
    CHECK(it->failureDomain != "fd1");
    CHECK(it->upstream != At(2));
    CHECK(it->upstream != At(3));
  }
}

TEST_CASE_FIXTURE(PickerFixture, "UpstreamPicker, all tried, none")
{
  AddUpstreams(2);
  CHECK_FALSE(picker.Pick("booking", *config, { At(0), At(1) }));
}

TEST_CASE_FIXTURE(PickerFixture,
                  "UpstreamPicker, upstream fails, avoided locally and retried later")
{
  AddUpstreams(8);
  results[At(3)] = Failed(ResultCode::kAnswerCut);
  const auto failing = Run(4000)[At(3)];
  CHECK(failing < 4000 / 8 / 10);
  CHECK(failing >= 4);
}

TEST_CASE_FIXTURE(PickerFixture, "UpstreamPicker, fast failures, do not attract load")
{
  AddUpstreams(8);
  // The floor leaves no slack, so local avoidance is disabled.
  Configure({ CapacityFloor{ "booking", 8 * 7 } });
  results[At(3)] = Failed(ResultCode::kUpstreamFailed);
  CHECK(Run(4000)[At(3)] < 4000 / 8);
}

TEST_CASE_FIXTURE(PickerFixture, "UpstreamPicker, avoidance would break the floor, load on all")
{
  AddUpstreams(4);
  Configure({ CapacityFloor{ "booking", 21 } });
  results[At(1)] = Failed(ResultCode::kAnswerCut);
  results[At(2)] = Failed(ResultCode::kAnswerCut);
  const auto counts = Run(2000);
  CHECK(counts.at(At(1)) > 40);
  CHECK(counts.at(At(2)) > 40);
}

TEST_CASE_FIXTURE(PickerFixture,
                  "UpstreamPicker, path fails, avoided without evidence against the upstream")
{
  AddUpstreams(8);
  results[At(5)] = Failed(ResultCode::kUpstreamFailed);
  results[At(5)].pathFailed = true;
  CHECK(Run(4000)[At(5)] < 4000 / 8 / 10);
  CHECK(picker.AvoidedUpstreams().empty());
  CHECK(picker.TakeEvidence().empty());
}

TEST_CASE_FIXTURE(PickerFixture,
                  "UpstreamPicker, no response on a pooled connection, upstream not avoided")
{
  AddUpstreams(8);
  results[At(5)] = { ResultCode::kUpstreamFailed, 0, {}, Milliseconds(5), true };
  Run(500);
  CHECK(picker.AvoidedUpstreams().empty());
}

TEST_CASE_FIXTURE(PickerFixture, "UpstreamPicker, ejected upstream, gets idempotent trials only")
{
  AddUpstreams(8);
  UpstreamRecord ejected = Record(6);
  ejected.ejected = true;
  Put(ejected);
  const int trials = Run(5000)[At(6)];
  CHECK(trials > 10);
  CHECK(trials < 150);
  for (int i = 0; i < 1000; ++i) {
    CHECK(picker.Pick("booking", *config, {}, false)->upstream != At(6));
  }
}

TEST_CASE_FIXTURE(PickerFixture, "UpstreamPicker, domain returns, its load grows gradually")
{
  AddUpstreams(8);
  Configure({ FailureDomainState{ "fd1", FailureDomainState::State::kOut, 10'000 } });
  CHECK(Run(100).count(At(1)) == 0);
  Configure({ FailureDomainState{ "fd1", FailureDomainState::State::kIn, 10'000 } });
  const int evenShare = 1000 * 2 / 8; // of the first second, without a ramp
  auto early = Run(1000);
  const int first = early[At(1)] + early[At(5)];
  clock.Advance(Seconds(10));
  auto late = Run(1000);
  CHECK(first < evenShare / 3);
  CHECK(late[At(1)] + late[At(5)] > evenShare / 2);
}

TEST_CASE_FIXTURE(PickerFixture, "UpstreamPicker, upstream slow, gets less load")
{
  AddUpstreams(8);
  results[At(4)] = Answer(Milliseconds(100));
  CHECK(Run(4000)[At(4)] < 4000 / 8 / 4);
}
