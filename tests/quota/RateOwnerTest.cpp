#include "quota/RateOwner.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace mustardwinch;

namespace {

/** Nodes that request tokens as RateTokenBroker does, on one manual clock, with views set by the
 * test. */
struct RateFixture
{
  RateFixture()
  {
    organisation.name = "org";
    organisation.ratePerSecond = 50;
    organisation.burst = 50;
    for (int i = 0; i < 10; ++i) {
      vms.push_back("vm-" + std::to_string(i));
    }
    for (const std::string& it : vms) {
      nodes[it] = MakeNode(it);
    }
    SetLive(vms);
  }

  /** The slack is the one that kBound includes. */
  std::unique_ptr<RateOwner> MakeNode(const std::string& aVm) const
  {
    return std::make_unique<RateOwner>(aVm, now, RateSettings{ 20 });
  }

  bool RequestToken(const std::string& aVm)
  {
    RateOwner& node = *nodes[aVm];
    const std::string owner = node.OwnerOf(organisation.name);
    RateVerdict verdict;
    if (failed.count(owner) == 0) {
      verdict = nodes[owner]->Take(now, organisation);
    }
    if (verdict.kind == RateVerdict::Kind::kNotOwner) {
      verdict = node.TakeLocalToken(now, organisation);
    }
    if (verdict.kind == RateVerdict::Kind::kGranted) {
      grants.push_back(now);
    }
    return verdict.kind == RateVerdict::Kind::kGranted;
  }

  /** All live nodes request tokens at many times the rate. */
  void RunOverload(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end; now += Milliseconds(10)) {
      Tick();
      for (const std::string& it : vms) {
        if (failed.count(it) == 0) {
          RequestToken(it);
        }
      }
    }
  }

  /** Passes the live nodes their views, as running nodes do continuously. */
  void Tick()
  {
    for (const std::string& it : vms) {
      if (failed.count(it) == 0) {
        nodes[it]->SetFleet(now, views[it], vms.size(), restarted);
      }
    }
  }

  /** The nodes request tokens in turn, one after each gap. @return number of refused requests */
  int CountRefused(int aRequests, Milliseconds aGap)
  {
    int refused = 0;
    for (int i = 0; i < aRequests; ++i) {
      now += aGap;
      Tick();
      refused += RequestToken(vms[static_cast<std::size_t>(i) % vms.size()]) ? 0 : 1;
    }
    return refused;
  }

  /** Advances the clock without requests. */
  void AdvanceTime(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end; now += Milliseconds(100)) {
      Tick();
    }
  }

  std::size_t MaxGrantsWithin(Seconds aWindow) const
  {
    std::size_t most = 0;
    std::deque<TimePoint> window;
    for (const TimePoint it : grants) {
      window.push_back(it);
      while (it - window.front() >= aWindow) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  void SetLive(const std::vector<std::string>& aLive)
  {
    for (const std::string& it : aLive) {
      views[it] = aLive;
      nodes[it]->SetFleet(now, aLive, vms.size());
    }
  }

  /** Restarts all nodes; each one learns that the others have just started too. */
  void Restart()
  {
    restarted = true;
    for (const std::string& it : vms) {
      nodes[it] = MakeNode(it);
      views[it] = vms;
    }
    Tick();
  }

  TimePoint now{ Seconds(1'000) };
  bool restarted = false; //!< passed to SetFleet(): all nodes have just started
  Organisation organisation;
  std::vector<std::string> vms;
  std::map<std::string, std::unique_ptr<RateOwner>> nodes;
  std::map<std::string, std::vector<std::string>> views; //!< the VMs that each node sees alive
  std::set<std::string> failed;
  std::vector<TimePoint> grants;
};

constexpr std::size_t kBound = static_cast<std::size_t>((50 * 5 + 50) * 1.1) + 20;

} // namespace

TEST_CASE_FIXTURE(RateFixture, "RateOwner, nodes agree on the fleet, they agree on the owner")
{
  const std::string owner = nodes["vm-0"]->OwnerOf("org");
  for (const auto& [vm, node] : nodes) {
    CHECK(node->OwnerOf("org") == owner);
  }
}

TEST_CASE_FIXTURE(RateFixture,
                  "RateOwner, overload through all nodes, any window stays within rate and burst")
{
  AdvanceTime(Seconds(5));
  RunOverload(Seconds(20));
  CHECK(MaxGrantsWithin(Seconds(5)) <= kBound);
  CHECK(grants.size() >= 20 * 50);
}

TEST_CASE_FIXTURE(RateFixture,
                  "RateOwner, overload while owners fail and return, stays within the bound")
{
  AdvanceTime(Seconds(5));
  for (int round = 0; round < 6; ++round) {
    const std::string owner = nodes["vm-0"]->OwnerOf("org");
    const std::string failedVm = owner == "vm-0" ? nodes["vm-1"]->OwnerOf("org") : owner;
    failed = { failedVm };
    RunOverload(Milliseconds(700)); // the failure is not detected yet
    std::vector<std::string> live;
    for (const std::string& it : vms) {
      if (it != failedVm) {
        live.push_back(it);
      }
    }
    SetLive(live);
    RunOverload(Seconds(2));
    failed.clear();
    nodes[failedVm] = MakeNode(failedVm);
    SetLive(vms);
    RunOverload(Seconds(2));
  }
  CHECK(MaxGrantsWithin(Seconds(5)) <= kBound);
}

TEST_CASE_FIXTURE(RateFixture,
                  "RateOwner, owner suspended and resumed under overload, grants only its share")
{
  // The other nodes detect the failure after 1.7 s and choose another owner. The old owner resumes
  // with unread requests in its sockets, and its own callers request tokens before it has received
  // a message from any other node.
  AdvanceTime(Seconds(5));
  RunOverload(Seconds(5));
  const std::string failedVm = nodes["vm-0"]->OwnerOf("org");
  failed = { failedVm };
  RunOverload(Milliseconds(1'700));
  std::vector<std::string> live = vms;
  std::erase(live, failedVm);
  SetLive(live);
  RunOverload(Seconds(3));
  failed.clear();
  const std::size_t before = grants.size();
  for (int i = 0; i < 200; ++i) {
    RequestToken(failedVm);
  }
  CHECK(grants.size() - before <= 50 / 10 + 1); // its share of the burst, rounded up
  SetLive(vms);
  RunOverload(Seconds(5));
  CHECK(MaxGrantsWithin(Seconds(5)) <= kBound);
}

TEST_CASE_FIXTURE(RateFixture,
                  "RateOwner, owner sees only a minority, grants no tokens to the fleet")
{
  AdvanceTime(Seconds(5));
  const std::string owner = nodes["vm-0"]->OwnerOf("org");
  views[owner] = { owner };
  AdvanceTime(Seconds(5));
  CHECK(nodes[owner]->Take(now, organisation).kind == RateVerdict::Kind::kNotOwner);
}

TEST_CASE_FIXTURE(RateFixture, "RateOwner, demand within the rate, nothing is refused")
{
  AdvanceTime(Seconds(5));
  CHECK(CountRefused(400, Milliseconds(25)) == 0);
}

TEST_CASE("RateOwner, local shares below one token, add up to the burst")
{
  Organisation organisation;
  organisation.name = "org";
  organisation.ratePerSecond = 20;
  organisation.burst = 20;
  const TimePoint now{ Seconds(1'000) };
  int granted = 0;
  for (int i = 0; i < 80; ++i) {
    RateOwner node("vm-" + std::to_string(i), now);
    node.SetFleet(now, {}, 80);
    for (int k = 0; k < 5; ++k) {
      granted += node.TakeLocalToken(now, organisation).kind == RateVerdict::Kind::kGranted ? 1 : 0;
    }
  }
  CHECK(granted <= 35);
  CHECK(granted >= 8);
}

TEST_CASE_FIXTURE(RateFixture,
                  "RateOwner, all nodes restart, a small organisation within its rate is served")
{
  organisation.ratePerSecond = 5;
  organisation.burst = 8;
  AdvanceTime(Seconds(5));
  for (const std::string& it : vms) {
    nodes[it] = MakeNode(it);
  }
  SetLive(vms);
  CHECK(CountRefused(12, Milliseconds(250)) == 0); // 4 per second through all nodes
}

TEST_CASE_FIXTURE(RateFixture,
                  "RateOwner, all nodes restart twice under overload, a small organisation stays "
                  "within its bound")
{
  organisation.ratePerSecond = 5;
  organisation.burst = 8;
  constexpr auto kSmallBound = static_cast<std::size_t>((5 * 5 + 8) * 1.1) + 20;
  AdvanceTime(Seconds(5));
  RunOverload(Seconds(6));
  for (int i = 0; i < 2; ++i) {
    for (const std::string& it : vms) {
      nodes[it] = MakeNode(it);
    }
    // Half of the nodes do not see the owner for a while and consider another node the owner.
    std::vector<std::string> half = vms;
    std::erase(half, nodes["vm-0"]->OwnerOf("org"));
    SetLive(vms);
    for (std::size_t j = 0; j < vms.size(); j += 2) {
      views[vms[j]] = half;
    }
    RunOverload(Milliseconds(400));
    SetLive(vms);
    RunOverload(Milliseconds(1'600));
  }
  RunOverload(Seconds(4));
  CHECK(MaxGrantsWithin(Seconds(5)) <= kSmallBound);
}

TEST_CASE_FIXTURE(
  RateFixture,
  "RateOwner, all of 80 nodes restart, a busy organisation within its rate is served")
{
  while (vms.size() < 80) {
    vms.push_back("vm-" + std::to_string(vms.size()));
    nodes[vms.back()] = MakeNode(vms.back());
  }
  SetLive(vms);
  AdvanceTime(Seconds(5));
  Restart();
  for (const std::string& it : vms) { // a token is requested before it has contact with the others
    nodes[it] = MakeNode(it);
    nodes[it]->SetFleet(now, vms, 2 * vms.size());
    RequestToken(it);
  }
  CHECK(CountRefused(120, Milliseconds(25)) <= 2); // 40 per second; the bucket starts empty
}

TEST_CASE_FIXTURE(RateFixture,
                  "RateOwner, all nodes restart under overload and find each other late, stays "
                  "within the bound")
{
  AdvanceTime(Seconds(5));
  RunOverload(Seconds(6));
  now += Milliseconds(600); // all nodes are down
  Restart();
  std::vector<std::string> half = vms;
  std::erase(half, nodes["vm-0"]->OwnerOf("org"));
  for (std::size_t i = 0; i < vms.size(); i += 2) {
    views[vms[i]] = half;
  }
  RunOverload(Milliseconds(800));
  for (const std::string& it : vms) {
    views[it] = vms;
  }
  RunOverload(Seconds(6));
  CHECK(MaxGrantsWithin(Seconds(5)) <= kBound);
}

TEST_CASE("SelectRateRelay, path to the owner is cut, another VM is the relay")
{
  const std::string relay = SelectRateRelay("org", { "vm-0", "vm-1", "vm-2" }, "vm-0");
  CHECK((relay == "vm-1" || relay == "vm-2"));
  CHECK(SelectRateRelay("org", { "vm-0" }, "vm-0").empty());
}
