#include "placement/PlacementPolicy.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>

using namespace mustardwinch;

namespace {

struct PlacementFixture
{
  PlacementFixture()
  {
    for (int i = 0; i < 6; ++i) {
      GateView gate;
      gate.vm = "vm-" + std::to_string(i);
      gate.service = "booking";
      gate.failureDomain = i < 3 ? "a" : "b";
      gate.available = true;
      gate.slots = 7;
      gate.latencyRatio = 0.3;
      gate.lastChosen = now;
      gates.push_back(gate);
    }
    request.service = "booking";
  }

  int Choose()
  {
    std::vector<const GateView*> views;
    for (const GateView& it : gates) {
      views.push_back(&it);
    }
    ++request.randomBits;
    return policy.Choose(views, request, now);
  }

  /** Number of times that each failure domain is chosen in 300 calls. */
  std::map<std::string, int> CountDomains()
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i) {
      const int chosen = Choose();
      counts[chosen < 0 ? "none" : gates[static_cast<std::size_t>(chosen)].failureDomain] += 1;
    }
    return counts;
  }

  TimePoint now{ Seconds(1'000) };
  PlacementPolicy policy{ "a" };
  PlacementRequest request;
  std::vector<GateView> gates;
};

} // namespace

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, free slots everywhere, stays in the failure domain")
{
  CHECK(CountDomains()["a"] == 300);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, same load, all gates of the domain get idempotent requests")
{
  request.idempotent = true;
  std::map<int, int> counts;
  for (int i = 0; i < 300; ++i) {
    counts[Choose()] += 1;
  }
  CHECK(counts.size() == 3);
  CHECK(counts.begin()->second > 30);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, domain full, small request goes to another domain")
{
  for (int i = 0; i < 3; ++i) {
    gates[static_cast<std::size_t>(i)].running = 10;
  }
  CHECK(CountDomains()["b"] == 300);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, short queue in the own domain, large body stays")
{
  request.bodyBytes = 60U << 10;
  for (int i = 0; i < 3; ++i) {
    gates[static_cast<std::size_t>(i)].running = 10;
  }
  CHECK(CountDomains()["a"] == 300);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, own domain unavailable, large body goes to another domain")
{
  request.bodyBytes = 60U << 10;
  for (int i = 0; i < 3; ++i) {
    gates[static_cast<std::size_t>(i)].available = false;
  }
  CHECK(CountDomains()["b"] == 300);
}

TEST_CASE_FIXTURE(PlacementFixture, "PlacementPolicy, suspected gate, only chosen as a last resort")
{
  gates.resize(1);
  gates[0].trust = UpstreamTrust::kSuspected;
  CHECK(Choose() == -1);
  request.idempotent = true;
  CHECK(Choose() == -1);
  request.lastResort = true;
  CHECK(Choose() == 0);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, trial due, idempotent requests go there first")
{
  gates[1].trust = UpstreamTrust::kTrialDue;
  gates[1].grayProbability = 0.9;
  request.idempotent = true;
  CHECK(Choose() == 1);
  request.idempotent = false;
  CHECK(Choose() != 1);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, trusted gate not used lately, gets an idempotent request")
{
  gates[2].latencyRatio = 3; // as of its last response
  gates[2].lastChosen = now - Seconds(3);
  request.idempotent = true;
  CHECK(Choose() == 2);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, new gate, gets its share of idempotent requests")
{
  gates[2].grayProbability = 0.05;
  request.idempotent = true;
  int n = 0;
  for (int i = 0; i < 300; ++i) {
    n += Choose() == 2 ? 1 : 0;
  }
  CHECK(n > 50);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, requests that cannot be retried, fill few gates to half")
{
  // 24 gates with a quarter of their slots busy. Each gray failure that begins at a gate in use
  // fails the first request sent there, so at most half of the gates may be used often.
  gates.resize(24, gates.front());
  std::map<int, int> counts;
  for (std::size_t i = 0; i < gates.size(); ++i) {
    gates[i].vm = "node-" + std::to_string(i);
    gates[i].failureDomain = "a";
    gates[i].slots = 15;
  }
  std::deque<std::size_t> running;
  std::mt19937_64 random(1);
  for (int i = 0; i < 3'000; ++i) {
    request.randomBits = random();
    const int chosen = Choose();
    ++counts[chosen];
    running.push_back(static_cast<std::size_t>(chosen));
    ++gates[running.back()].running;
    CHECK(gates[running.back()].running <= gates[running.back()].slots);
    if (running.size() > 90) {
      --gates[running.front()].running;
      running.pop_front();
    }
  }
  int oftenUsed = 0;
  for (const auto& [gate, n] : counts) {
    oftenUsed += n > 3'000 / 24 / 2 ? 1 : 0;
  }
  CHECK(oftenUsed <= 12);
  CHECK(counts.size() == 24); // no gate stays unused
}

TEST_CASE_FIXTURE(PlacementFixture, "PlacementPolicy, slow gate, is not chosen")
{
  gates[0].latencyRatio = 1.5;
  for (int i = 0; i < 50; ++i) {
    CHECK(Choose() != 0);
  }
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, silent links, gates of another domain are chosen")
{
  for (int i = 0; i < 3; ++i) {
    gates[static_cast<std::size_t>(i)].pathSuspected = true;
  }
  CHECK(CountDomains()["b"] == 300);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, excluded gates and other services, are never chosen")
{
  request.excluded = { "vm-0", "vm-1", "vm-2", "vm-3", "vm-4" };
  CHECK(Choose() == 5);
  gates[5].service = "dispatch";
  CHECK(Choose() == -1);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, most gates suspected, reported as a fault of the service")
{
  const auto fewTrusted = [this](std::size_t aSuspected) {
    std::vector<const GateView*> views;
    for (std::size_t i = 0; i < gates.size(); ++i) {
      gates[i].trust = i < aSuspected ? UpstreamTrust::kSuspected : UpstreamTrust::kTrusted;
      views.push_back(&gates[i]);
    }
    return PlacementPolicy::FewTrusted(views, "booking");
  };
  CHECK_FALSE(fewTrusted(0));
  CHECK_FALSE(fewTrusted(2)); // a third, as with gray failures
  CHECK(fewTrusted(4));
  gates[3].available = gates[4].available = gates[5].available = false;
  CHECK(fewTrusted(2));
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "PlacementPolicy, most gates suspected, trials and other requests still sent")
{
  for (std::size_t i = 0; i < 4; ++i) {
    gates[i].trust = UpstreamTrust::kTrialDue;
    gates[i].grayProbability = 0.9;
  }
  request.fewTrusted = true;
  request.idempotent = true;
  CHECK(CountDomains()["a"] == 300); // the due trials
  request.idempotent = false;
  for (int i = 0; i < 100; ++i) {
    CHECK(Choose() >= 4); // requests that cannot be retried still prefer the others
  }
  gates[4].available = gates[5].available = false;
  CHECK(Choose() >= 0);
}
