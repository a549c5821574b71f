#include "sidecar/UpstreamState.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using Change = UpstreamState::Change;

namespace {

struct StateFixture
{
  Change Announce(const std::string& aInstance,
                  std::uint64_t aProcessStartMs,
                  std::uint64_t aSequence)
  {
    UpstreamAnnouncement announcement;
    announcement.instance = aInstance;
    announcement.service = "booking";
    announcement.processStartMs = aProcessStartMs;
    announcement.sequence = aSequence;
    announcement.draining = draining;
    return state.Announce(announcement, now);
  }

  TimePoint now{ Seconds(1'000) };
  bool draining = false;
  UpstreamState state;
};

} // namespace

TEST_CASE_FIXTURE(StateFixture, "UpstreamState, first announcement, available")
{
  CHECK_FALSE(state.IsAvailable());
  CHECK(Announce("i-1", 100, 1) == Change::kReplaced);
  CHECK(state.IsAvailable());
}

TEST_CASE_FIXTURE(StateFixture, "UpstreamState, delayed announcement after draining, stays leaving")
{
  Announce("i-1", 100, 1);
  draining = true;
  CHECK(Announce("i-1", 100, 5) == Change::kLeaving);
  draining = false;
  CHECK(Announce("i-1", 100, 3) == Change::kStale);
  Announce("i-1", 100, 6);
  CHECK_FALSE(state.IsAvailable());
}

TEST_CASE_FIXTURE(StateFixture,
                  "UpstreamState, announcement of an earlier process, changes nothing")
{
  Announce("i-2", 200, 1);
  CHECK(Announce("i-1", 100, 9) == Change::kStale);
  CHECK(state.Current().instance == "i-2");
}

TEST_CASE_FIXTURE(StateFixture,
                  "UpstreamState, same instance restarts, its sequence numbers start again")
{
  Announce("i-1", 100, 50);
  CHECK(Announce("i-1", 200, 1) == Change::kReplaced);
  CHECK(state.IsAvailable());
}

TEST_CASE_FIXTURE(StateFixture,
                  "UpstreamState, replaced after it left, the new instance is available")
{
  Announce("i-1", 100, 1);
  CHECK(state.Leave("i-1", 100) == Change::kLeaving);
  CHECK_FALSE(state.IsAvailable());
  Announce("i-2", 200, 1);
  CHECK(state.IsAvailable());
}

TEST_CASE_FIXTURE(StateFixture, "UpstreamState, leave of another process, changes nothing")
{
  Announce("i-2", 200, 1);
  CHECK(state.Leave("i-1", 100) == Change::kStale);
  CHECK(state.Leave("i-2", 100) == Change::kStale);
  CHECK(state.IsAvailable());
}

TEST_CASE_FIXTURE(StateFixture,
                  "UpstreamState, node restarts, peers report that the upstream is leaving")
{
  state.RememberLeaving("i-1");
  CHECK(Announce("i-1", 100, 9) == Change::kLeaving);
  CHECK_FALSE(state.IsAvailable());
}

TEST_CASE_FIXTURE(
  StateFixture,
  "UpstreamState, another upstream at the address, unavailable until it announces itself")
{
  Announce("i-1", 100, 1);
  state.OnWrongInstance();
  CHECK_FALSE(state.IsAvailable());
  Announce("i-1", 100, 2);
  CHECK_FALSE(state.IsAvailable());
  Announce("i-9", 300, 1);
  CHECK(state.IsAvailable());
}

TEST_CASE_FIXTURE(StateFixture,
                  "UpstreamState, same instance restarts after it left, is not reported as leaving")
{
  Announce("i-1", 100, 1);
  state.Leave("i-1", 100);
  CHECK(state.LeavingInstance() == "i-1");
  CHECK(Announce("i-1", 200, 1) == Change::kReplaced);
  CHECK(state.IsAvailable());
  CHECK(state.LeavingInstance().empty());
}
