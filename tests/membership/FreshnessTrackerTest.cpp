#include "membership/FreshnessTracker.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

constexpr std::uint64_t kOwn = 11;
constexpr std::uint64_t kNewer = 12;

/** A node with a loaded, unconfirmed configuration among four other members. */
struct Tracker
{
  Tracker()
  {
    clock.Pause();
    tracker.OnDigest(kOwn);
    tracker.OnLoaded();
    tracker.Tick(clock.Now(), 4, 0); // evidence before the first tick is discarded
  }

  void Advance(Duration aTime, std::size_t aLive = 4, std::size_t aLost = 0)
  {
    for (Duration left = aTime; left > Duration(0); left -= Milliseconds(100)) {
      clock.Advance(Milliseconds(100));
      tracker.Tick(clock.Now(), aLive, aLost);
    }
  }

  void Probe(const std::string& aMember, bool aAnswered)
  {
    tracker.OnProbe({ aMember, clock.Now(), aAnswered });
  }

  Freshness State() const { return tracker.View().At(clock.Now()); }

  Clock clock;
  FreshnessTracker tracker;
};

} // namespace

TEST_CASE_FIXTURE(Tracker,
                  "FreshnessTracker, a matching beacon, confirms for kConfirmBound and no longer")
{
  tracker.OnBeacon({ 1'000, kOwn, 1 }, clock.Now());
  Advance(Milliseconds(4'900));
  CHECK(State() == Freshness::kConfirmed);
  Advance(Milliseconds(100));
  CHECK(State() == Freshness::kIsolated);
}

TEST_CASE_FIXTURE(Tracker, "FreshnessTracker, a beacon was delayed, its age counts from the ping")
{
  const TimePoint pingSent = clock.Now();
  Advance(Seconds(5));
  tracker.OnBeacon({ 500, kOwn, 1 }, pingSent);
  Advance(Milliseconds(600));
  CHECK(State() == Freshness::kIsolated);
}

TEST_CASE_FIXTURE(
  Tracker,
  "FreshnessTracker, a beacon of a newer digest, confirms once that digest is applied")
{
  tracker.OnBeacon({ 0, kNewer, 2 }, clock.Now());
  Advance(Seconds(1));
  CHECK(State() == Freshness::kIsolated);
  tracker.OnDigest(kNewer);
  Advance(Milliseconds(100));
  CHECK(State() == Freshness::kConfirmed);
}

TEST_CASE_FIXTURE(Tracker, "FreshnessTracker, a beacon of a previous digest, still confirms")
{
  tracker.OnDigest(kNewer);
  tracker.OnBeacon({ 0, kOwn, 1 }, clock.Now());
  Advance(Milliseconds(100));
  CHECK(State() == Freshness::kConfirmed);
}

TEST_CASE_FIXTURE(Tracker, "FreshnessTracker, no beacon, the majority of the fleet decides")
{
  struct Row
  {
    int answered;
    int silent;
    std::size_t live;
    std::size_t lost;
    Freshness expected;
  };
  for (const Row& it : { Row{ 4, 0, 4, 0, Freshness::kPlatformUnreachable },
                         Row{ 2, 2, 4, 0, Freshness::kPlatformUnreachable },
                         Row{ 1, 3, 4, 0, Freshness::kIsolated },
                         Row{ 0, 4, 4, 0, Freshness::kIsolated },
                         Row{ 1, 0, 1, 3, Freshness::kIsolated },
                         Row{ 2, 0, 2, 2, Freshness::kPlatformUnreachable },
                         Row{ 0, 0, 0, 1, Freshness::kIsolated },
                         Row{ 0, 0, 0, 0, Freshness::kIsolated } }) {
    CAPTURE(it.answered);
    CAPTURE(it.silent);
    CAPTURE(it.lost);
    Tracker fresh;
    for (int n = 0; n < it.answered + it.silent; ++n) {
      fresh.Probe("vm-" + std::to_string(n), n < it.answered);
    }
    fresh.Advance(Milliseconds(100), it.live, it.lost);
    CHECK(fresh.State() == it.expected);
  }
}

TEST_CASE_FIXTURE(Tracker,
                  "FreshnessTracker, no other members but confirmed before, platform unreachable")
{
  tracker.OnBeacon({ 0, kOwn, 1 }, clock.Now());
  Advance(Seconds(3'600), 0, 0);
  CHECK(State() == Freshness::kPlatformUnreachable);
}

TEST_CASE_FIXTURE(Tracker, "FreshnessTracker, nothing loaded yet, is isolated")
{
  FreshnessTracker empty;
  empty.OnProbe({ "vm-1", clock.Now(), true });
  empty.Tick(clock.Now(), 1, 0);
  CHECK(empty.View().At(clock.Now()) == Freshness::kIsolated);
}

TEST_CASE_FIXTURE(Tracker, "FreshnessTracker, the clock jumps, older evidence is discarded")
{
  Advance(Milliseconds(100));
  tracker.OnBeacon({ 0, kOwn, 1 }, clock.Now());
  Probe("vm-1", true);
  Advance(Milliseconds(100));
  REQUIRE(State() == Freshness::kConfirmed);
  clock.Advance(Milliseconds(3'100));
  CHECK(State() == Freshness::kIsolated); // before the first tick after the pause
  tracker.Tick(clock.Now(), 1, 0);
  CHECK(State() == Freshness::kIsolated);
  tracker.OnBeacon({ 0, kOwn, 1 }, clock.Now());
  Advance(Milliseconds(100));
  CHECK(State() == Freshness::kConfirmed);
}
