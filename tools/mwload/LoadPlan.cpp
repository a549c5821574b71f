#include "mwload/LoadPlan.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <initializer_list>
#include <stdexcept>
#include <string_view>

namespace mustardwinch::load {

namespace {

void CheckFields(const YAML::Node& aNode, std::initializer_list<std::string_view> aNames)
{
  for (const auto& it : aNode) {
    const auto name = it.first.as<std::string>();
    if (std::find(aNames.begin(), aNames.end(), name) == aNames.end()) {
      throw std::runtime_error("unknown field " + name);
    }
  }
}

PlannedOrganisation ReadOrganisation(const YAML::Node& aNode)
{
  CheckFields(aNode, { "name", "key", "rate", "limit_rate", "limit_burst" });
  PlannedOrganisation organisation;
  organisation.name = aNode["name"].as<std::string>();
  organisation.key = aNode["key"].as<std::string>("");
  organisation.rate = aNode["rate"].as<double>(organisation.rate);
  organisation.limitRate = aNode["limit_rate"].as<double>(organisation.limitRate);
  organisation.limitBurst = aNode["limit_burst"].as<double>(organisation.limitBurst);
  return organisation;
}

PlannedRoute ReadRoute(const YAML::Node& aNode)
{
  CheckFields(
    aNode,
    { "method", "path", "weight", "size", "idempotent", "echo", "chunked", "bytes_per_second" });
  PlannedRoute route;
  route.method = aNode["method"].as<std::string>(route.method);
  route.path = aNode["path"].as<std::string>();
  route.weight = aNode["weight"].as<double>(route.weight);
  route.size = aNode["size"].as<std::uint64_t>(route.size);
  route.idempotent = aNode["idempotent"].as<bool>(route.method != "POST");
  route.echo = aNode["echo"].as<bool>(route.echo);
  route.chunked = aNode["chunked"].as<bool>(route.chunked);
  route.bytesPerSecond = aNode["bytes_per_second"].as<std::uint64_t>(route.bytesPerSecond);
  return route;
}

LoadPlan ReadPlan(const YAML::Node& aNode)
{
  CheckFields(aNode,
              { "nodes", "organisations", "routes", "seconds", "callers", "timeout_ms", "seed" });
  LoadPlan plan;
  plan.nodes = aNode["nodes"].as<std::vector<std::string>>(plan.nodes);
  for (const YAML::Node& it : aNode["organisations"]) {
    plan.organisations.push_back(ReadOrganisation(it));
  }
  for (const YAML::Node& it : aNode["routes"]) {
    plan.routes.push_back(ReadRoute(it));
  }
  plan.seconds = aNode["seconds"].as<double>(plan.seconds);
  plan.callers = aNode["callers"].as<std::uint32_t>(plan.callers);
  plan.timeoutMs = aNode["timeout_ms"].as<std::uint64_t>(plan.timeoutMs);
  plan.seed = aNode["seed"].as<std::uint64_t>(plan.seed);
  if (plan.organisations.empty() || plan.routes.empty()) {
    throw std::runtime_error("organisations and routes must not be empty");
  }
  return plan;
}

} // namespace

std::optional<LoadPlan> LoadPlan::Read(const std::string& aFile, std::string& aError)
{
  try {
    return ReadPlan(YAML::LoadFile(aFile));
  } catch (const std::exception& e) {
    aError = e.what();
    return std::nullopt;
  }
}

} // namespace mustardwinch::load
