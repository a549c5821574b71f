#include "platform/ConfigDecoder.h"
#include "base/Sha256.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using nlohmann::json;

namespace {

struct ConfigFixture
{
  json spec = json::parse(R"({
    "version": "r12",
    "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200, "headerTimeoutMs": 300, "idleTimeoutMs": 400},
    "tenants": [{"name": "org", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 58.5, "burst": 60}],
    "listeners": [{"host": "h.example", "rules": [
      {"name": "r1", "kind": "unsafe", "targetLatencyMs": 1500, "priority": 2, "allowAnonymous": false,
       "match": {"pathPrefix": "/a/"}, "action": {"service": "one", "timeoutMs": 3000, "maxAttempts": 2}},
      {"name": "r2", "kind": "safe", "allowAnonymous": true, "match": {"pathPrefix": "/b/"},
       "action": {"trafficSplit": [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}]}},
      {"name": "r3", "kind": "upload", "match": {"pathPrefix": "/c/"}, "action": {"service": "two"}}]}],
    "clusters": [{"name": "one", "healthPath": "/healthz", "maxConnections": 390, "warmupS": 3.5, "warmupPerS": 43}],
    "somethingNew": {"x": 1}
  })");
};

} // namespace

TEST_CASE_FIXTURE(ConfigFixture, "DecodeConfig, whole configuration, each field is in its place")
{
  const auto result = platform::DecodeConfig(spec);
  REQUIRE(result.IsOk());
  const TrafficConfig& config = result.Value();
  CHECK(config.version == 12);
  CHECK(config.limits == HttpLimits{ 100, 200, Milliseconds(300), Milliseconds(400) });
  REQUIRE(config.organisations.size() == 1);
  const TrafficOrganisation& organisation = config.organisations.front();
  CHECK(organisation.organisation ==
        Organisation{ "org", { Sha256::Of("k1"), Sha256::Of("k2") }, 58.5, 60 });
  CHECK(organisation.priority == 1);
  REQUIRE(config.routes.size() == 3);
  CHECK(config.routes[0] == TrafficRoute{ "r1",
                                          "h.example",
                                          "/a/",
                                          { { "one", 1 } },
                                          false,
                                          false,
                                          Milliseconds(3'000),
                                          Milliseconds(1'500),
                                          2,
                                          2 });
  CHECK(config.routes[1].idempotent);
  CHECK(config.routes[1].allowAnonymous);
  CHECK(config.routes[1].targets == std::vector<RouteTarget>{ { "one", 90 }, { "two", 10 } });
  CHECK_FALSE(config.routes[2].idempotent);
  CHECK(config.services.front() ==
        TrafficService{ "one", "/healthz", 390, 43, Milliseconds(3'500) });
}

// Downloads were sent to one upstream only, although they may run again.
TEST_CASE_FIXTURE(ConfigFixture, "DecodeConfig, downloads, are idempotent")
{
  spec["listeners"][0]["rules"][2]["kind"] = "download";
  CHECK(platform::DecodeConfig(spec).Value().routes[2].idempotent);
}

TEST_CASE_FIXTURE(ConfigFixture, "DecodeConfig, field missing or of another type, is rejected")
{
  struct Row
  {
    const char* pointer;
    json value;
  };
  const std::vector<Row> rows{
    { "/version", "12" },
    { "/version", "r" },
    { "/version", "r1x" },
    { "/version", 12 },
    { "/listeners", 5 },
    { "/listeners/0/host", 5 },
    { "/listeners/0/rules/0/match", json::object() },
    { "/listeners/0/rules/0/action", "one" },
    { "/listeners/0/rules/0/action/timeoutMs", "soon" },
    { "/listeners/0/rules/1/action/trafficSplit/0/service", nullptr },
    { "/tenants/0/apiKeys", "k1" },
    { "/tenants/0/apiKeys/0", 7 },
    { "/clusters/0/name", nullptr },
  };
  for (const Row& it : rows) {
    json broken = spec;
    broken[json::json_pointer(it.pointer)] = it.value;
    CAPTURE(std::string(it.pointer));
    CHECK_FALSE(platform::DecodeConfig(broken).IsOk());
  }
  CHECK_FALSE(platform::DecodeConfig(json()).IsOk());
  CHECK_FALSE(platform::DecodeConfig(json::array()).IsOk());
}

TEST_CASE_FIXTURE(ConfigFixture, "DecodeConfig, traffic split that cannot hold, is rejected")
{
  const auto decode = [this](const json& aSplit) {
    json changed = spec;
    changed["listeners"][0]["rules"][1]["action"]["trafficSplit"] = aSplit;
    return platform::DecodeConfig(changed).IsOk();
  };
  const auto entry = [](const json& aService, const json& aWeight) {
    return json{ { "service", aService }, { "weight", aWeight } };
  };
  CHECK(decode(json::array({ entry("one", 1) })));
  CHECK(decode({ entry("one", 0), entry("two", 1) }));
  CHECK_FALSE(decode(json::array()));
  CHECK_FALSE(decode("one"));
  CHECK_FALSE(decode({ entry("one", 0), entry("two", 0) }));
  for (const json& weight : { json(-1), json(0.5), json("1"), json(nullptr), json(1e18) }) {
    CHECK_FALSE(decode({ entry("one", weight), entry("two", 1) }));
  }
  json both = spec;
  both["listeners"][0]["rules"][1]["action"]["service"] = "one";
  CHECK_FALSE(platform::DecodeConfig(both).IsOk());
}
