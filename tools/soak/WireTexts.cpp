#include "soak/WireTexts.h"

#include "platform/PlatformNames.h"

namespace mustardwinch::soak {
namespace {

using nlohmann::json;

constexpr int kTargetMs = 400;
constexpr int kTimeoutMs = 1'500;

json Rule(const std::string& aName, const std::string& aService, const char* aKind, bool aOpen)
{
  return { { "name", aName },
           { "kind", aKind },
           { "targetLatencyMs", kTargetMs },
           { "allowAnonymous", aOpen },
           { "match", { { "pathPrefix", "/" + aName + "/" } } },
           { "action",
             { { "service", aService }, { "timeoutMs", kTimeoutMs }, { "maxAttempts", 2 } } } };
}

json Cluster(const std::string& aName)
{
  return { { "name", aName },
           { "healthPath", "/health" },
           { "maxConnections", 100 },
           { "warmupPerS", kColdStartsPerSecond } };
}

} // namespace

HttpRequest AnnouncementRequest(const UpstreamAnnouncement& aAnnouncement)
{
  const json body{ { "address", aAnnouncement.address.ToString() },
                   { "born", aAnnouncement.processStartMs },
                   { "info",
                     { { "service", aAnnouncement.service },
                       { "version", "v1" },
                       { "zone", aAnnouncement.failureDomain },
                       { "slots", aAnnouncement.slots } } },
                   { "status",
                     { { "state", aAnnouncement.draining ? "draining" : "ready" },
                       { "seq", aAnnouncement.sequence },
                       { "warmupLeftMs", aAnnouncement.coldRemaining.count() } } } };
  const std::string prefix = platform::MakeHttpNames().announcePrefix;
  return { "POST", prefix + aAnnouncement.instance + "/heartbeat", {}, body.dump() };
}

json ConfigSpec(std::uint64_t aVersion,
                const std::vector<SoakOrganisation>& aOrganisations,
                const std::vector<std::string>& aAddedRoutes)
{
  json rules{ Rule("safe", "booking", "safe", false),
              Rule("unsafe", "booking", "unsafe", false),
              Rule("dispatch", "dispatch", "unsafe", false),
              Rule("upload", "booking", "upload", false),
              Rule("open", "booking", "safe", true) };
  for (const std::string& it : aAddedRoutes) {
    rules.push_back(Rule(it, "booking", "safe", false));
  }
  json organisations = json::array();
  for (const SoakOrganisation& it : aOrganisations) {
    organisations.push_back({ { "name", it.name },
                              { "apiKeys", it.keys },
                              { "ratePerS", it.ratePerSecond },
                              { "burst", it.burst } });
  }
  return { { "version", "r" + std::to_string(aVersion) },
           { "limits",
             { { "maxHeaderBytes", 8'192 },
               { "maxBodyBytes", 1'000'000 },
               { "headerTimeoutMs", 3'000 },
               { "idleTimeoutMs", 15'000 } } },
           { "tenants", organisations },
           { "listeners", { { { "host", kHost }, { "rules", rules } } } },
           { "clusters", { Cluster("booking"), Cluster("dispatch") } } };
}

} // namespace mustardwinch::soak
