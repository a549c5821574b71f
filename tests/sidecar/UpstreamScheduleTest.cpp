#include "sidecar/UpstreamState.h"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

using namespace mustardwinch;

namespace {

// Exhaustive test of message schedules: two upstreams use the same address one after the other,
// their messages may be delayed, duplicated and reordered, and the node may restart in between.
// Invariant: once the node has acknowledged that an instance leaves, the instance is never
// available again in that process of the node. After a restart of the node, its peers report the
// last instance that left.

struct Heartbeat
{
  const char* instance;
  std::uint64_t processStartMs;
  std::uint64_t sequence;
  bool draining;
};

struct Leave
{
  const char* instance;
  std::uint64_t processStartMs;
};

struct NodeRestart
{};

using Step = std::variant<Heartbeat, Leave, NodeRestart>;

const std::array<Step, 8> kSteps{ Heartbeat{ "i-a", 1, 1, false },
                                  Heartbeat{ "i-a", 1, 2, false },
                                  Heartbeat{ "i-a", 1, 3, true },
                                  Leave{ "i-a", 1 },
                                  Heartbeat{ "i-b", 2, 1, false },
                                  Heartbeat{ "i-b", 2, 2, true },
                                  Leave{ "i-b", 2 },
                                  NodeRestart{} };

constexpr std::size_t kDepth = 6;

/** State of the test after a prefix of a schedule. @tparam State the state machine under test */
template<typename State>
struct Model
{
  State state;
  /** Departures that this process of the node acknowledged or that peers reported. */
  std::vector<std::string> left;

  void operator()(const Heartbeat& aHeartbeat)
  {
    UpstreamAnnouncement announcement;
    announcement.instance = aHeartbeat.instance;
    announcement.processStartMs = aHeartbeat.processStartMs;
    announcement.sequence = aHeartbeat.sequence;
    announcement.draining = aHeartbeat.draining;
    state.Announce(announcement, TimePoint{ Seconds(1'000) });
    if (aHeartbeat.draining) {
      left.emplace_back(aHeartbeat.instance);
    }
  }

  void operator()(const Leave& aLeave)
  {
    state.Leave(aLeave.instance, aLeave.processStartMs);
    left.emplace_back(aLeave.instance);
  }

  void operator()(const NodeRestart&)
  {
    const std::string told = state.LeavingInstance();
    state = State();
    left.clear();
    if (!told.empty()) {
      state.RememberLeaving(told);
      left.push_back(told);
    }
  }

  bool ViolatesInvariant() const
  {
    if (!state.IsAvailable()) {
      return false;
    }
    for (const std::string& it : left) {
      if (it == state.Current().instance) {
        return true;
      }
    }
    return false;
  }
};

/** Counts the schedules of up to kDepth steps that violate the invariant. */
template<typename State>
std::size_t CountViolations(const Model<State>& aModel, std::size_t aDepth)
{
  if (aDepth == kDepth) {
    return 0;
  }
  std::size_t broken = 0;
  for (const Step& step : kSteps) {
    Model<State> next = aModel;
    std::visit(next, step);
    broken += next.ViolatesInvariant() ? 1 : CountViolations(next, aDepth + 1);
  }
  return broken;
}

/** Deliberately faulty: an announcement of "ready" makes the upstream available regardless of its
 * history.
 */
class StateWithoutHistory : public UpstreamState
{
public:
  Change Announce(const UpstreamAnnouncement& aAnnouncement, TimePoint aNow)
  {
    if (!aAnnouncement.draining) {
      static_cast<UpstreamState&>(*this) = UpstreamState();
    }
    return UpstreamState::Announce(aAnnouncement, aNow);
  }
};

} // namespace

TEST_CASE(
  "UpstreamState, all schedules of delayed messages and restarts, departed stays unavailable")
{
  CHECK(CountViolations(Model<UpstreamState>(), 0) == 0);
}

TEST_CASE("UpstreamState, all schedules, the search detects a state without history")
{
  CHECK(CountViolations(Model<StateWithoutHistory>(), 0) > 0);
}
