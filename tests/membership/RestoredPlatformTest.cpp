#include "FleetFixture.h"

#include "config/ConfigRecord.h"

using namespace mustardwinch;
using sim::Fleet;

namespace {

/** A fleet whose platform comes back from a copy. */
struct RestoredPlatform : Fleet
{
  /** Whether all nodes hold this content, or a deletion if it is negative. */
  bool AllHoldBurst(const std::string& aName, int aBurst)
  {
    return AllRunning([&](std::size_t n) {
      const Record::Ptr record = Core(n).Config().Find("organisation/" + aName);
      if (!record || record->IsDeleted()) {
        return aBurst < 0;
      }
      const auto content = ConfigRecord::Read(*record);
      return content && content.Value().spec.value("burst", 0) == aBurst;
    });
  }

  void Put(const std::string& aName, int aBurst)
  {
    platform.Put("organisation", aName, { { "burst", aBurst } });
  }

  /** Whether that stays so for a time. */
  bool Stays(const std::string& aName, int aBurst, Duration aTime)
  {
    return !RunUntil([&] { return !AllHoldBurst(aName, aBurst); }, aTime);
  }

  static constexpr Seconds kInForce{ 2 };
};

} // namespace

// Guards against changes that are left out for good, since numbers are given out again.
TEST_CASE_FIXTURE(RestoredPlatform,
                  "Restored platform, change at a number given out again, is in force in time")
{
  platform.TakeCopy();
  for (int i = 10; i < 20; ++i) {
    Put("rossi", i);
  }
  REQUIRE(RunUntil([&] { return AllHoldBurst("rossi", 19); }, kInForce));
  platform.RestoreCopy();
  Put("rossi", 30);
  CHECK(RunUntil([&] { return AllHoldBurst("rossi", 30); }, kInForce));
  CHECK(AllConfirmed());
}

TEST_CASE_FIXTURE(RestoredPlatform,
                  "Restored platform, what the copy lacks, is kept until written again or given up")
{
  platform.TakeCopy();
  Put("rossi", 19);
  Put("verdi", 7);
  Put("bianchi", 8);
  REQUIRE(
    RunUntil([&] { return AllHoldBurst("bianchi", 8) && AllHoldBurst("rossi", 19); }, kInForce));
  platform.RestoreCopy();
  CHECK(Stays("rossi", 19, Seconds(2)));
  CHECK(AllHoldBurst("verdi", 7));
  Put("rossi", 19);
  Put("verdi", 7);
  CHECK(RunUntil([&] { return AllHoldBurst("bianchi", -1); }, Seconds(20)));
  CHECK(Stays("rossi", 19, Seconds(20)));
  CHECK(AllHoldBurst("verdi", 7));
}

TEST_CASE_FIXTURE(RestoredPlatform,
                  "Restored platform, deleted after the copy, stays so until given up")
{
  Put("verdi", 7);
  REQUIRE(RunUntil([&] { return AllHoldBurst("verdi", 7); }, kInForce));
  platform.TakeCopy();
  platform.Delete("organisation", "verdi");
  REQUIRE(RunUntil([&] { return AllHoldBurst("verdi", -1); }, kInForce));
  platform.RestoreCopy();
  CHECK(Stays("verdi", -1, Seconds(3)));
  platform.Delete("organisation", "verdi");
  CHECK(Stays("verdi", -1, Seconds(20)));
}

TEST_CASE_FIXTURE(RestoredPlatform, "Restored platform, deleted in the new history, goes at once")
{
  Put("verdi", 7);
  REQUIRE(RunUntil([&] { return AllHoldBurst("verdi", 7); }, kInForce));
  platform.TakeCopy();
  Put("rossi", 9);
  REQUIRE(RunUntil([&] { return AllHoldBurst("rossi", 9); }, kInForce));
  platform.RestoreCopy();
  platform.Delete("organisation", "verdi");
  CHECK(RunUntil([&] { return AllHoldBurst("verdi", -1); }, kInForce));
}

TEST_CASE_FIXTURE(RestoredPlatform,
                  "Restored platform, nodes start while it lacks a change, the fleet keeps it")
{
  platform.TakeCopy();
  Put("rossi", 19);
  REQUIRE(RunUntil([&] { return AllHoldBurst("rossi", 19); }, kInForce));
  platform.RestoreCopy();
  for (std::size_t n = 0; n < 4; ++n) {
    Kill(n);
    StartNode(n);
  }
  const auto stayed = [&] {
    for (std::size_t n = 4; n < sim::kNodes; ++n) {
      const Record::Ptr record = Core(n).Config().Find("organisation/rossi");
      if (ConfigRecord::Read(*record).Value().spec.value("burst", 0) != 19) {
        return false;
      }
    }
    return true;
  };
  CHECK_FALSE(RunUntil([&] { return !stayed(); }, Seconds(3)));
  Put("rossi", 19);
  CHECK(RunUntil([&] { return AllHoldBurst("rossi", 19); }, Seconds(4)));
}

TEST_CASE_FIXTURE(RestoredPlatform,
                  "Restored platform, from copies in series, the last change wins")
{
  for (int i = 100; i < 105; ++i) {
    platform.TakeCopy();
    Put("rossi", 1'000 + i);
    Put("verdi", i);
    Run(Milliseconds(300));
    platform.unreachable = true;
    Run(Milliseconds(700));
    platform.RestoreCopy();
    platform.unreachable = false;
    Put("rossi", i);
    CHECK(RunUntil([&] { return AllHoldBurst("rossi", i); }, Seconds(4)));
  }
  CHECK(RunUntil([&] { return AllHoldBurst("verdi", -1); }, Seconds(20)));
  CHECK(RunUntil([&] { return AllConfirmed(); }, Seconds(10)));
}
