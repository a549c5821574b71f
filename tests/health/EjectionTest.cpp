#include "FakeEjectionStore.h"
#include "HealthFixture.h"
#include "health/EjectionPolicy.h"
#include "health/EjectionUpdater.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

using namespace mustardwinch;

namespace {

constexpr std::uint32_t kSlots = 7;

struct EjectionFixture : HealthFixture
{
  /** Decision of one gate to eject its upstream, if the policy allows it on the set just read. */
  EjectionSet Eject(const EjectionSet& aCurrent, std::uint32_t aIndex) const
  {
    const auto list = directory.Of("booking");
    const EjectionPolicy policy(list, *config, aCurrent);
    if (!policy.MayEject(At(aIndex))) {
      return aCurrent;
    }
    return aCurrent.With({ At(aIndex), "i1", EjectionReason::kFailing, 20.0 + aIndex, 0 });
  }

  std::uint32_t HealthySlots(const EjectionSet& aSet) const
  {
    const auto list = directory.Of("booking");
    return EjectionPolicy(list, *config, aSet).HealthySlots();
  }

  FakeEjectionStore store;
};

} // namespace

TEST_CASE_FIXTURE(EjectionFixture, "Ejection, gates decide each for itself, floor is broken")
{
  AddUpstreams(8);
  Configure({ CapacityFloor{ "booking", 5 * kSlots } });
  EjectionSet combined; // without a shared set: each gate ignores the ejections of the others
  for (std::uint32_t i = 0; i < 6; ++i) {
    const EjectionSet own = Eject(EjectionSet(), i);
    combined = combined.With(own.Ejections().at(0));
  }
  CHECK(HealthySlots(combined) < 5 * kSlots);
}

TEST_CASE_FIXTURE(EjectionFixture, "Ejection, concurrent gates with conflicts, floor holds")
{
  AddUpstreams(8);
  Configure({ CapacityFloor{ "booking", 5 * kSlots } });
  std::vector<std::thread> gates;
  for (std::uint32_t i = 0; i < 8; ++i) {
    gates.emplace_back([this, i] {
      EjectionUpdater updater(store.Store(), "gate" + std::to_string(i));
      const auto result =
        updater.Update("booking", [&](const EjectionSet& aCurrent) { return Eject(aCurrent, i); });
      CHECK((result || result.Error().code == ResultCode::kPlatformConflict));
    });
  }
  for (std::thread& it : gates) {
    it.join();
  }
  CHECK(store.Current().Ejections().size() == 3);
  CHECK(HealthySlots(store.Current()) == 5 * kSlots);
}

TEST_CASE("Ejection, random fleets and deciders, floor never broken by an ejection")
{
  CHECK(rc::check("floor", [] {
    EjectionFixture it;
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 20);
    for (std::uint32_t i = 0; i < count; ++i) {
      UpstreamRecord record = HealthFixture::Record(i);
      record.cold = *rc::gen::inRange(0, 4) == 0;
      record.state =
        *rc::gen::inRange(0, 6) == 0 ? UpstreamState::kDraining : UpstreamState::kReady;
      it.Put(record);
    }
    const auto floor = *rc::gen::inRange<std::uint32_t>(0, count * kSlots);
    it.Configure({ CapacityFloor{ "booking", floor } });
    EjectionSet set;
    for (std::uint32_t step = 0; step < 2 * count; ++step) {
      const std::uint32_t before = it.HealthySlots(set);
      const EjectionSet next = it.Eject(set, *rc::gen::inRange<std::uint32_t>(0, count));
      const std::uint32_t after = it.HealthySlots(next);
      RC_ASSERT(after >= std::min(before, floor));
      set = next;
    }
  }));
}

TEST_CASE_FIXTURE(EjectionFixture,
                  "Ejection, capacity falls for other reasons, least severe released")
{
  AddUpstreams(8);
  Configure({ CapacityFloor{ "booking", 4 * kSlots } });
  EjectionSet set;
  for (std::uint32_t i = 0; i < 3; ++i) {
    set = Eject(set, i); // badness increases with the index
  }
  const auto list = directory.Of("booking");
  CHECK(EjectionPolicy(list, *config, set).EjectionsToRelease().empty());
  Configure({ CapacityFloor{ "booking", 4 * kSlots },
              FailureDomainState{ "fd3", FailureDomainState::State::kOut, 0 } });
  CHECK(EjectionPolicy(list, *config, set).EjectionsToRelease() == std::vector<Address>{ At(0) });
}

TEST_CASE_FIXTURE(EjectionFixture, "Ejection, platform unreachable, nothing ejected")
{
  AddUpstreams(8);
  store.unavailable = true;
  EjectionUpdater updater(store.Store(), "gate");
  const auto result =
    updater.Update("booking", [&](const EjectionSet& aCurrent) { return Eject(aCurrent, 1); });
  REQUIRE_FALSE(result);
  CHECK(result.Error().code == ResultCode::kPlatformUnavailable);
  CHECK(store.Current().Ejections().empty());
}

TEST_CASE("EjectionSet, to JSON and back, equal")
{
  EjectionSet set;
  set = set.With({ HealthFixture::At(2), "i1", EjectionReason::kSlow, 17, 1234 });
  set = set.With({ HealthFixture::At(1), "i2", EjectionReason::kFailing, 40, 1235 });
  CHECK(EjectionSet::FromJson(set.ToJson()) == set);
  CHECK_FALSE(EjectionSet::FromJson(nlohmann::json{ { "ejections", { { { "upstream", 3 } } } } }));
  CHECK_FALSE(EjectionSet::FromJson(nlohmann::json::array()));
}
