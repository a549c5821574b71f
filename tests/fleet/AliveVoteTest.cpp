#include "fleet/AliveVote.h"
#include "quota/RateOwner.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mustardwinch;

namespace {

struct VoteFixture
{
  /** What the node takes to be alive if the pairs in cut do not hear each other. */
  std::vector<std::string> Alive(const std::string& aNode) const
  {
    UnheardReports reports;
    for (const std::string& it : vms) {
      if (Hears(aNode, it)) {
        const auto unheard = Unheard(it);
        reports[it] = std::set<std::string>(unheard.begin(), unheard.end());
      }
    }
    std::vector<std::string> heard;
    for (const std::string& it : vms) {
      if (Hears(aNode, it)) {
        heard.push_back(it);
      }
    }
    std::vector<std::string> voters;
    const std::set<std::string> all = ChooseVoters(Domains());
    for (const std::string& it : heard) {
      if (it != aNode && all.count(it) != 0) {
        voters.push_back(it);
      }
    }
    return AgreeOnAlive(heard, voters, Unheard(aNode), reports);
  }

  /** Each VM is in the failure domain of its first letter. */
  VmsByDomain Domains() const
  {
    VmsByDomain domains;
    for (const std::string& it : vms) {
      domains[it.substr(0, 1)].push_back(it);
    }
    return domains;
  }

  bool Hears(const std::string& aOne, const std::string& aTwo) const
  {
    return aOne == aTwo || (cut.count({ aOne, aTwo }) == 0 && dead.count(aTwo) == 0);
  }

  std::vector<std::string> Unheard(const std::string& aNode) const
  {
    std::vector<std::string> unheard;
    for (const std::string& it : vms) {
      if (!Hears(aNode, it)) {
        unheard.push_back(it);
      }
    }
    return unheard;
  }

  std::vector<std::string> vms{ "a", "b", "c", "d", "e", "f", "g" };
  std::set<std::pair<std::string, std::string>> cut;
  std::set<std::string> dead;
};

} // namespace

TEST_CASE_FIXTURE(VoteFixture,
                  "AgreeOnAlive, every pair with one node cut alone, all name one owner")
{
  const std::string owner = RateOwnerOf("org", vms);
  for (const std::string& it : vms) {
    if (it == owner) {
      continue;
    }
    cut = { { it, owner }, { owner, it } };
    for (const std::string& node : vms) {
      CHECK(RateOwnerOf("org", Alive(node)) == owner);
    }
  }
}

TEST_CASE_FIXTURE(VoteFixture, "AgreeOnAlive, VM is dead, all agree that it is")
{
  dead = { "c" };
  for (const std::string& it : vms) {
    if (it != "c") {
      CHECK(Alive(it) == std::vector<std::string>{ "a", "b", "d", "e", "f", "g" });
    }
  }
}

TEST_CASE_FIXTURE(VoteFixture, "AgreeOnAlive, no reports yet, the VM is taken to be alive")
{
  CHECK(AgreeOnAlive({ "a", "b", "c" }, { "b", "c" }, { "d" }, {}) ==
        std::vector<std::string>{ "a", "b", "c", "d" });
}

TEST_CASE_FIXTURE(VoteFixture, "AgreeOnAlive, node hears nobody, only itself is alive for it")
{
  CHECK(AgreeOnAlive({ "a" }, {}, { "b", "c" }, {}) == std::vector<std::string>{ "a" });
}

namespace {

struct DomainsFixture : VoteFixture
{
  static constexpr int kVms = 20;

  DomainsFixture()
  {
    vms.clear();
    for (const char* domain : { "a", "b", "c" }) {
      for (int i = 0; i < kVms; ++i) {
        vms.push_back(domain + std::to_string(i));
      }
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(DomainsFixture,
                  "AgreeOnAlive, several failure domains, one pair cut, all name one owner")
{
  const std::string owner = RateOwnerOf("org", vms);
  for (const std::string& it : vms) {
    if (it == owner) {
      continue;
    }
    cut = { { it, owner }, { owner, it } };
    for (const std::string& node : vms) {
      CHECK(RateOwnerOf("org", Alive(node)) == owner);
    }
  }
}

TEST_CASE_FIXTURE(DomainsFixture, "AgreeOnAlive, a failure domain is lost, all others agree on it")
{
  for (const std::string& it : vms) {
    if (it.front() == 'b') {
      dead.insert(it);
    }
  }
  for (const std::string& it : vms) {
    if (dead.count(it) == 0) {
      CHECK(Alive(it).size() == 2 * kVms);
    }
  }
}

TEST_CASE_FIXTURE(DomainsFixture, "AgreeOnAlive, a failure domain is cut off, it hears only itself")
{
  for (const std::string& one : vms) {
    for (const std::string& two : vms) {
      if (one.front() != two.front() && (one.front() == 'b' || two.front() == 'b')) {
        cut.insert({ one, two });
      }
    }
  }
  CHECK(Alive("b1").size() == kVms);
  CHECK(Alive("a1").size() == 2 * kVms);
}

TEST_CASE_FIXTURE(DomainsFixture,
                  "AgreeOnAlive, a VM is cut off from most of its own failure domain, it is alive")
{
  for (const std::string& it : vms) {
    if (it.front() == 'b' && it != "b1" && it != "b2") {
      cut.insert({ it, "b1" });
      cut.insert({ "b1", it });
    }
  }
  for (const std::string& it : vms) {
    if (it.front() != 'b') {
      CHECK(Alive(it).size() == 3 * kVms);
    }
  }
  CHECK(Alive("b5").size() == 3 * kVms);
}

TEST_CASE_FIXTURE(DomainsFixture, "ChooseVoters, hundreds of VMs, few vote and all domains do")
{
  VmsByDomain domains;
  for (const char* domain : { "a", "b", "c", "d", "e", "f" }) {
    for (int i = 0; i < 59; ++i) {
      domains[domain].push_back(domain + std::to_string(i));
    }
  }
  const std::set<std::string> voters = ChooseVoters(domains);
  CHECK(voters.size() == 24);
  for (const auto& [domain, vms] : domains) {
    CHECK(std::any_of(voters.begin(), voters.end(), [&domain = domain](const std::string& aVoter) {
      return aVoter.substr(0, 1) == domain;
    }));
  }
  domains["a"].push_back("a99"); // one more VM changes at most one voter
  std::set<std::string> after = ChooseVoters(domains);
  after.insert(voters.begin(), voters.end());
  CHECK(after.size() <= 25);
}
