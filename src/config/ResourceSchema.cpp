#include "config/ResourceSchema.h"

#include "config/SpecReader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mustardwinch {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxDurationMs = 3'600'000;
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr std::uint32_t kMaxConnections = 100'000;
constexpr std::uint32_t kMaxFloorSlots = 10'000'000;
constexpr std::uint32_t kMaxBurst = 1'000'000'000;
constexpr double kMaxRatePerSecond = 1e9;

bool IsDomainState(std::string_view aText)
{
  return aText == "in" || aText == "out";
}

constexpr TextRule kDomainStateRule{ "in or out", &IsDomainState };

Resource ReadService(const std::string& aName, SpecReader& aReader)
{
  Service service;
  service.name = aName;
  aReader.Unsigned("coldRampMs", Presence::kOptional, 0, kMaxDurationMs, service.coldRampMs);
  aReader.Unsigned("slots", Presence::kOptional, 1, kMaxSlots, service.slots);
  aReader.Unsigned("connections", Presence::kOptional, 1, kMaxConnections, service.connections);
  return service;
}

Resource ReadRoute(const std::string& aName, SpecReader& aReader)
{
  Route route;
  route.name = aName;
  aReader.Text("pathPrefix", Presence::kRequired, kPathPrefixRule, route.pathPrefix);
  aReader.TextList("methods", Presence::kOptional, kMethodRule, route.methods);
  aReader.Text("service", Presence::kRequired, kNameRule, route.service);
  aReader.Bool("open", Presence::kOptional, route.open);
  aReader.Bool("idempotent", Presence::kOptional, route.idempotent);
  aReader.Unsigned("deadlineMs", Presence::kOptional, 1, kMaxDurationMs, route.deadlineMs);
  return route;
}

Resource ReadOrganisation(const std::string& aName, SpecReader& aReader)
{
  Organisation organisation;
  organisation.name = aName;
  aReader.TextList("keyHashes", Presence::kOptional, kKeyHashRule, organisation.keyHashes);
  aReader.Number(
    "ratePerSecond", Presence::kRequired, 0, kMaxRatePerSecond, organisation.ratePerSecond);
  aReader.Unsigned("burst", Presence::kRequired, 1, kMaxBurst, organisation.burst);
  return organisation;
}

Resource ReadFloor(const std::string& aName, SpecReader& aReader)
{
  CapacityFloor floor;
  floor.service = aName;
  aReader.Unsigned("slots", Presence::kRequired, 0, kMaxFloorSlots, floor.slots);
  return floor;
}

Resource ReadFailureDomain(const std::string& aName, SpecReader& aReader)
{
  FailureDomainState domain;
  domain.name = aName;
  std::string state;
  aReader.Text("state", Presence::kRequired, kDomainStateRule, state);
  domain.state = state == "out" ? FailureDomainState::State::kOut : FailureDomainState::State::kIn;
  aReader.Unsigned("rampMs", Presence::kOptional, 0, kMaxDurationMs, domain.rampMs);
  return domain;
}

/** The name says it all; it has been checked to be an address. */
Resource ReadLeaving(const std::string& aName, SpecReader&)
{
  LeavingUpstream leaving;
  leaving.name = aName;
  leaving.upstream = Address::Parse(aName).value_or(Address{});
  return leaving;
}

struct Schema
{
  const char* kind;
  const TextRule& name;
  Resource (*read)(const std::string&, SpecReader&);
};

const std::array kSchemas{
  Schema{ "service", kNameRule, &ReadService },
  Schema{ "route", kNameRule, &ReadRoute },
  Schema{ "organisation", kNameRule, &ReadOrganisation },
  Schema{ "floor", kNameRule, &ReadFloor },
  Schema{ "failuredomain", kNameRule, &ReadFailureDomain },
  Schema{ "leaving", kAddressRule, &ReadLeaving },
};

/** Kind, name and spec of a resource, one overload for each type. */
struct KindVisitor
{
  std::string operator()(const Service&) const { return "service"; }
  std::string operator()(const Route&) const { return "route"; }
  std::string operator()(const Organisation&) const { return "organisation"; }
  std::string operator()(const CapacityFloor&) const { return "floor"; }
  std::string operator()(const FailureDomainState&) const { return "failuredomain"; }
  std::string operator()(const LeavingUpstream&) const { return "leaving"; }
};

struct NameVisitor
{
  std::string operator()(const CapacityFloor& aFloor) const { return aFloor.service; }

  template<typename T>
  std::string operator()(const T& aResource) const
  {
    return aResource.name;
  }
};

struct SpecVisitor
{
  json operator()(const Service& aService) const
  {
    return { { "coldRampMs", aService.coldRampMs },
             { "slots", aService.slots },
             { "connections", aService.connections } };
  }

  json operator()(const Route& aRoute) const
  {
    return { { "pathPrefix", aRoute.pathPrefix }, { "methods", aRoute.methods },
             { "service", aRoute.service },       { "open", aRoute.open },
             { "idempotent", aRoute.idempotent }, { "deadlineMs", aRoute.deadlineMs } };
  }

  json operator()(const Organisation& aOrganisation) const
  {
    return { { "keyHashes", aOrganisation.keyHashes },
             { "ratePerSecond", aOrganisation.ratePerSecond },
             { "burst", aOrganisation.burst } };
  }

  json operator()(const CapacityFloor& aFloor) const { return { { "slots", aFloor.slots } }; }

  json operator()(const FailureDomainState& aDomain) const
  {
    const bool out = aDomain.state == FailureDomainState::State::kOut;
    return { { "state", out ? "out" : "in" }, { "rampMs", aDomain.rampMs } };
  }

  json operator()(const LeavingUpstream&) const { return json::object(); }
};

const Schema* FindSchema(std::string_view aKind)
{
  const auto it = std::find_if(
    kSchemas.begin(), kSchemas.end(), [&](const Schema& aSchema) { return aSchema.kind == aKind; });
  return it == kSchemas.end() ? nullptr : &*it;
}

std::string JoinKinds()
{
  std::string text;
  for (const std::string& it : ResourceKinds()) {
    text += text.empty() ? "" : ", ";
    text += it;
  }
  return text;
}

} // namespace

const std::vector<std::string>& ResourceKinds()
{
  static const std::vector<std::string> kKinds = [] {
    std::vector<std::string> kinds;
    kinds.reserve(kSchemas.size());
    for (const Schema& it : kSchemas) {
      kinds.emplace_back(it.kind);
    }
    return kinds;
  }();
  return kKinds;
}

Result<Resource> ParseResource(std::string_view aKind, const std::string& aName, const json& aSpec)
{
  const Schema* schema = FindSchema(aKind);
  if (schema == nullptr) {
    return { ResultCode::kResourceUnknownKind,
             "kind '" + std::string(aKind) + "': allowed " + JoinKinds() };
  }
  std::vector<FieldProblem> problems;
  if (!schema->name.accepts(aName)) {
    problems.push_back({ "name", "'" + aName + "'", schema->name.allowed });
  }
  SpecReader reader(aSpec, problems);
  Resource resource = schema->read(aName, reader);
  reader.Finish();
  if (!problems.empty()) {
    return { ResultCode::kResourceInvalid,
             std::string(aKind) + "/" + aName + ": " + JoinProblems(problems) };
  }
  return resource;
}

Result<Resource> ParseResource(const PlatformObject& aObject)
{
  return ParseResource(aObject.kind, aObject.name, aObject.spec);
}

std::string KindOf(const Resource& aResource)
{
  return std::visit(KindVisitor{}, aResource);
}

std::string NameOf(const Resource& aResource)
{
  return std::visit(NameVisitor{}, aResource);
}

json SpecOf(const Resource& aResource)
{
  return std::visit(SpecVisitor{}, aResource);
}

} // namespace mustardwinch
