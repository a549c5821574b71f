#include "routing/RoutingTable.h"
#include "base/Sha256.h"
#include "sidecar/TrafficSplit.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace mustardwinch;

namespace {

TrafficRoute Route(const std::string& aPrefix, const std::string& aService)
{
  TrafficRoute route;
  route.name = aPrefix;
  route.host = "Shop.example";
  route.pathPrefix = aPrefix;
  route.targets = { { aService, 1 } };
  return route;
}

struct RoutingFixture
{
  static TrafficConfig Config()
  {
    TrafficConfig config;
    config.routes = { Route("/a/", "one"), Route("/a/b/", "two") };
    config.organisations = { { { "org", { Sha256::Of("secret") }, 5, 5 }, 1 } };
    return config;
  }

  std::string Service(const std::string& aHost, const std::string& aTarget) const
  {
    const TrafficRoute* route = table.FindRoute(aHost, aTarget);
    return route != nullptr ? route->targets.front().service : "none";
  }

  RoutingTable table{ Config() };
};

} // namespace

TEST_CASE_FIXTURE(RoutingFixture, "RoutingTable, several prefixes match, the longest is chosen")
{
  CHECK(Service("shop.example", "/a/x") == "one");
  CHECK(Service("shop.example:80", "/a/b/x?y=/z/") == "two");
  CHECK(Service("SHOP.example", "/a/b") == "one");
}

TEST_CASE_FIXTURE(RoutingFixture, "RoutingTable, no prefix or host matches, no route")
{
  CHECK(Service("shop.example", "/c/x") == "none");
  CHECK(Service("shop.example", "/a") == "none");
  CHECK(Service("other.example", "/a/x") == "none");
  CHECK(Service("shop.example", "") == "none");
}

TEST_CASE_FIXTURE(RoutingFixture, "RoutingTable, key, only an exact match finds its organisation")
{
  REQUIRE(table.FindOrganisationByKey("secret") != nullptr);
  CHECK(table.FindOrganisationByKey("secret")->organisation.name == "org");
  CHECK(table.FindOrganisationByKey("secret ") == nullptr);
  CHECK(table.FindOrganisationByKey("") == nullptr);
}

TEST_CASE("ChooseTarget, weights 90 and 10 over 200 requests, each share within 2 percent")
{
  TrafficRoute route;
  route.targets = { { "big", 90 }, { "small", 10 } };
  double position = 0.3;
  std::map<std::string, int> counts;
  for (int i = 0; i < 200; ++i) {
    counts[ChooseTarget(route, position)] += 1;
  }
  CHECK(counts["small"] >= 16);
  CHECK(counts["small"] <= 24);
}

TEST_CASE(
  "ChooseTarget, 300 nodes with 3 requests each, shares hold within 4 percent over the fleet")
{
  TrafficRoute route;
  route.targets = { { "big", 90 }, { "small", 10 } };
  std::mt19937_64 random(7);
  std::map<std::string, int> counts;
  for (int node = 0; node < 300; ++node) {
    double position = InitialSplitPosition(random());
    for (int i = 0; i < 3; ++i) {
      counts[ChooseTarget(route, position)] += 1;
    }
  }
  CHECK(counts["small"] >= 54);
  CHECK(counts["small"] <= 126);
}

TEST_CASE("ChooseTarget, weights 0 and 1 and a single entry, only the others receive requests")
{
  TrafficRoute route;
  route.targets = { { "none", 0 }, { "all", 1 } };
  double position = 0;
  for (int i = 0; i < 100; ++i) {
    CHECK(ChooseTarget(route, position) == "all");
  }
  route.targets = { { "only", 1 } };
  CHECK(ChooseTarget(route, position) == "only");
}
