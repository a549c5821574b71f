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
    for (const std::string& it : heard) {
      if (it != aNode && Votes(it, aNode)) {
        voters.push_back(it);
      }
    }
    return AgreeOnAlive(heard, voters, Unheard(aNode), reports);
  }

  /** Each VM is in the failure domain of its first letter. */
  bool Votes(const std::string& aVoter, const std::string& aNode) const
  {
    const auto inDomain = std::count_if(
      vms.begin(), vms.end(), [&](const std::string& aVm) { return aVm.front() == aNode.front(); });
    return TellsVote(aVoter.front() == aNode.front(), static_cast<std::size_t>(inDomain));
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
  DomainsFixture()
  {
    vms.clear();
    for (const char* domain : { "a", "b", "c" }) {
      for (const char* number : { "1", "2", "3", "4", "5", "6" }) {
        vms.push_back(std::string(domain) + number);
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
  dead = { "b1", "b2", "b3", "b4", "b5", "b6" };
  for (const std::string& it : vms) {
    if (dead.count(it) == 0) {
      CHECK(Alive(it).size() == 12);
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
  CHECK(Alive("b1").size() == 6);
  CHECK(Alive("a1").size() == 12);
}

TEST_CASE("TellsVote, hundreds of VMs, whom a node does not hear stays in its failure domain")
{
  CHECK(TellsVote(true, 60));
  CHECK_FALSE(TellsVote(false, 60));
  CHECK(TellsVote(false, 4)); // too few voters of its own
}
