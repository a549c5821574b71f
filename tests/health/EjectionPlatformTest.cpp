#include "HealthFixture.h"
#include "health/EjectionUpdater.h"
#include "platform/PlatformApi.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

struct PlatformFixture
{
  Result<EjectionSet> Eject(std::uint32_t aIndex)
  {
    return updater.Update("booking", [&](const EjectionSet& aCurrent) {
      ++decisions;
      return aCurrent.With({ HealthFixture::At(aIndex), "i1", EjectionReason::kFailing, 20, 0 });
    });
  }

  std::shared_ptr<MemoryPlatform> memory = std::make_shared<MemoryPlatform>();
  PlatformApi platform{ PlatformApi::Backend(memory) };
  EjectionUpdater updater{ MakeEjectionStore(platform), "gate" };
  int decisions = 0;
};

struct FaultRow
{
  const char* name;
  PlatformFaults faults;
  bool inForce; //!< whether the updater reports the update as in force
};

} // namespace

TEST_CASE_FIXTURE(PlatformFixture, "EjectionUpdater, each platform fault, answer is true")
{
  REQUIRE(Eject(1));
  FaultRow row{ "none", {}, true };
  SUBCASE("none") {}
  SUBCASE("reply lost")
  {
    row = { "reply lost", { .loseReplies = 1 }, true };
  }
  SUBCASE("stale read")
  {
    row = { "stale read", { .staleReads = 1 }, true };
  }
  SUBCASE("outage")
  {
    row = { "outage", { .outage = true }, false };
  }
  CAPTURE(row.name);
  memory->SetFaults(row.faults);
  const auto result = Eject(2);
  CHECK(result.IsOk() == row.inForce);
  memory->SetFaults({});
  const auto object = platform.Get(EjectionSet::kKind, "booking");
  REQUIRE(object);
  const auto stored = EjectionSet::FromJson(object.Value().spec);
  REQUIRE(stored);
  CHECK(stored->Contains(HealthFixture::At(1), "i1"));
  CHECK(stored->Contains(HealthFixture::At(2), "i1") == row.inForce);
}
