#include "config/ConfigStore.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace mustardwinch;

namespace {

Result<Resource> Parse(const std::string& aKind,
                       const std::string& aName,
                       const nlohmann::json& aSpec)
{
  if (aKind == "organisation") {
    Organisation organisation;
    organisation.name = aName;
    organisation.keyHashes = aSpec.value("keyHashes", std::vector<std::string>{});
    return Resource(organisation);
  }
  if (aKind == "route") {
    Route route;
    route.name = aName;
    route.pathPrefix = aSpec.value("pathPrefix", "");
    route.methods = aSpec.value("methods", std::vector<std::string>{});
    return route.pathPrefix.empty() ? Result<Resource>(ResultCode::kResourceInvalid)
                                    : Result<Resource>(Resource(route));
  }
  if (aKind == "floor") {
    return Resource(CapacityFloor{ aName, aSpec.value("slots", 0U) });
  }
  return ResultCode::kResourceUnknownKind;
}

/** A ConfigStore that is fed one object version at a time. */
struct StoreFixture
{
  StoreFixture()
    : store(source, Parse)
  {
  }

  void Put(const std::string& aKind, const std::string& aName, nlohmann::json aSpec)
  {
    Apply({ aKind, aName, ++version, false, std::move(aSpec) });
  }

  void Delete(const std::string& aKind, const std::string& aName)
  {
    Apply({ aKind, aName, ++version, true, {} });
  }

  void Apply(const ConfigRecord& aObject)
  {
    const Record::Ptr record = ConfigRecord::Make(aObject);
    Record::Ptr& held = records[std::string(record->Key())];
    store.Apply({ { held, record } }, version);
    held = record;
  }

  std::shared_ptr<const ConfigSnapshot> Snapshot() const { return source.Current(); }

  ConfigSource source;
  ConfigStore store;
  std::map<std::string, Record::Ptr> records;
  std::uint64_t version = 0;
};

bool Matches(const Route& aRoute, const std::string& aMethod, const std::string& aPath)
{
  const std::string& prefix = aRoute.pathPrefix;
  const auto& methods = aRoute.methods;
  const bool whole = aPath.size() == prefix.size() || prefix.back() == '/';
  return aPath.starts_with(prefix) && (whole || aPath[prefix.size()] == '/') &&
         (methods.empty() || std::find(methods.begin(), methods.end(), aMethod) != methods.end());
}

/** Reference result: the longest matching prefix by a linear scan of all routes. */
std::string LongestByScan(const std::vector<Resource>& aResources,
                          const std::string& aMethod,
                          const std::string& aPath)
{
  std::string longest;
  for (const Resource& it : aResources) {
    const auto* route = std::get_if<Route>(&it);
    if (route != nullptr && Matches(*route, aMethod, aPath) &&
        route->pathPrefix.size() > longest.size()) {
      longest = route->pathPrefix;
    }
  }
  return longest;
}

std::string GeneratePath()
{
  const auto parts = *rc::gen::container<std::vector<std::string>>(
    rc::gen::element<std::string>("/", "/a", "/b", "/ab", "a"));
  std::string path = "/";
  for (const std::string& it : parts) {
    path += it;
  }
  return path;
}

} // namespace

TEST_CASE_FIXTURE(StoreFixture,
                  "ConfigStore, a key is withdrawn, is no longer found; other keys stay")
{
  Put("organisation", "rossi", { { "keyHashes", { "aa", "bb" } } });
  Put("organisation", "verdi", { { "keyHashes", { "cc" } } });
  const auto before = Snapshot();
  Put("organisation", "rossi", { { "keyHashes", { "bb" } } });
  CHECK(Snapshot()->FindOrganisationByKeyHash("aa") == nullptr);
  CHECK(Snapshot()->FindOrganisationByKeyHash("bb")->name == "rossi");
  CHECK(Snapshot()->FindOrganisationByKeyHash("cc")->name == "verdi");
  CHECK(before->FindOrganisationByKeyHash("aa")->name ==
        "rossi"); // a running request keeps its snapshot
  Delete("organisation", "rossi");
  CHECK(Snapshot()->FindOrganisation("rossi") == nullptr);
  CHECK(Snapshot()->FindOrganisationByKeyHash("bb") == nullptr);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "ConfigStore, an invalid version of a route, is left out until corrected")
{
  Put("route", "r", { { "pathPrefix", "/a" } });
  Put("route", "r", { { "pathPrefix", "" } });
  CHECK(Snapshot()->FindRoute("GET", "/a") == nullptr);
  CHECK(Snapshot()->Revision() == 2);
  Put("route", "r", { { "pathPrefix", "/b" } });
  CHECK(Snapshot()->FindRoute("GET", "/b/c")->name == "r");
}

TEST_CASE_FIXTURE(StoreFixture, "ConfigStore, kinds of other components, change no look-up")
{
  Put("floor", "booking", { { "slots", 4 } });
  Put("ejection", "booking", { { "upstreams", { "1.2.3.4:5" } } });
  CHECK(Snapshot()->FloorOf("booking") == 4);
  CHECK(Snapshot()->Resources().size() == 1);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "ConfigStore, many organisations were looked up, Trim frees what was decoded")
{
  for (std::size_t n = 0; n <= ConfigStore::kMaxDecoded; ++n) {
    Put("organisation", std::to_string(n), { { "keyHashes", { std::to_string(n) } } });
  }
  for (std::size_t n = 0; n <= ConfigStore::kMaxDecoded; ++n) {
    REQUIRE(Snapshot()->FindOrganisationByKeyHash(std::to_string(n))->name == std::to_string(n));
  }
  store.Trim();
  CHECK(Snapshot()->DecodedCount() == 0);
  CHECK(Snapshot()->FindOrganisation("7")->name == "7");
}

TEST_CASE("ConfigRecord, specs with and without hashes, round-trip")
{
  const std::string hash = "00ff" + std::string(60, 'a');
  for (const nlohmann::json& it : { nlohmann::json{ { "keyHashes", { hash, "AA", "" } } },
                                    nlohmann::json{ { "name", hash }, { "n", 5.5 }, { "b", true } },
                                    nlohmann::json::object(),
                                    nlohmann::json() }) {
    const ConfigRecord object{ "organisation", "a/b", 7, false, it };
    const auto read = ConfigRecord::Read(*ConfigRecord::Make(object));
    REQUIRE(read.IsOk());
    CHECK(read.Value() == object);
  }
  const auto broken = Record::Make("organisation/a", { 1, 0 }, false, "\xc1");
  CHECK(ConfigRecord::Read(*broken).Error().code == ResultCode::kResourceInvalid);
}

TEST_CASE("ConfigStore, any routes, changes and paths, finds what a scan of all routes finds")
{
  CHECK(rc::check([] {
    StoreFixture store;
    for (int n = *rc::gen::inRange(1, 30); n > 0; --n) {
      const std::string name = std::to_string(*rc::gen::inRange(0, 10));
      if (*rc::gen::inRange(0, 4) == 0) {
        store.Delete("route", name);
        continue;
      }
      nlohmann::json spec{ { "pathPrefix", GeneratePath() } };
      if (*rc::gen::arbitrary<bool>()) {
        spec["methods"] = { "GET" };
      }
      store.Put("route", name, spec);
    }
    const auto resources = store.Snapshot()->Resources();
    // A snapshot built from all resources at once must give the same results.
    const ConfigSnapshot whole(store.version, resources);
    for (int n = 0; n < 20; ++n) {
      const std::string path = GeneratePath();
      const std::string method = *rc::gen::element<std::string>("GET", "POST");
      const std::string expected = LongestByScan(resources, method, path);
      const Route* found = store.Snapshot()->FindRoute(method, path);
      RC_ASSERT((found == nullptr ? "" : found->pathPrefix) == expected);
      const Route* again = whole.FindRoute(method, path);
      RC_ASSERT((again == nullptr ? "" : again->pathPrefix) == expected);
    }
  }));
}
