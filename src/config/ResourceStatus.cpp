#include "config/ResourceStatus.h"

#include "config/SpecReader.h"

#include <limits>

namespace mustardwinch {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxNodes = std::numeric_limits<std::uint32_t>::max();

bool IsAnyText(std::string_view)
{
  return true;
}

constexpr TextRule kAnyTextRule{ "a string", &IsAnyText };

} // namespace

bool ResourceStatus::IsInForceEverywhere() const
{
  return error.empty() && inForceVersion == specVersion && nodesInForce == nodesAlive;
}

json ToJson(const ResourceStatus& aStatus)
{
  return { { "specVersion", aStatus.specVersion },   { "inForceVersion", aStatus.inForceVersion },
           { "nodesInForce", aStatus.nodesInForce }, { "nodesAlive", aStatus.nodesAlive },
           { "laggingNodes", aStatus.laggingNodes }, { "error", aStatus.error },
           { "warnings", aStatus.warnings } };
}

Result<ResourceStatus> StatusFromJson(const json& aJson)
{
  ResourceStatus status;
  std::vector<FieldProblem> problems;
  SpecReader reader(aJson, problems);
  reader.Unsigned64("specVersion", Presence::kRequired, status.specVersion);
  reader.Unsigned64("inForceVersion", Presence::kRequired, status.inForceVersion);
  reader.Unsigned("nodesInForce", Presence::kRequired, 0, kMaxNodes, status.nodesInForce);
  reader.Unsigned("nodesAlive", Presence::kRequired, 0, kMaxNodes, status.nodesAlive);
  reader.TextList("laggingNodes", Presence::kOptional, kNameRule, status.laggingNodes);
  reader.Text("error", Presence::kRequired, kAnyTextRule, status.error);
  reader.TextList("warnings", Presence::kOptional, kAnyTextRule, status.warnings);
  if (!problems.empty()) {
    return { ResultCode::kPlatformBadAnswer, JoinProblems(problems) };
  }
  return status;
}

} // namespace mustardwinch
