#include "mwctl/Output.h"

#include "config/ResourceStatus.h"
#include "platform/JsonText.h"
#include "platform/PlatformJson.h"

#include <array>
#include <iomanip>
#include <iostream>

namespace mustardwinch {
namespace {

using nlohmann::json;

constexpr std::array kColumnWidths{ 14, 32, 10, 10, 10 };

void PrintRow(const std::array<std::string, 6>& aCells)
{
  for (std::size_t i = 0; i < kColumnWidths.size(); ++i) {
    std::cout << std::left << std::setw(kColumnWidths[i]) << aCells[i] << ' ';
  }
  std::cout << aCells.back() << '\n';
}

/** What an operator should know: the error, or warnings, or nodes that lag. */
std::string NoteOf(const ResourceStatus& aStatus)
{
  if (!aStatus.error.empty()) {
    return "invalid: " + aStatus.error;
  }
  std::string note;
  for (const std::string& it : aStatus.warnings) {
    note += note.empty() ? "warning: " : "; ";
    note += it;
  }
  for (const std::string& it : aStatus.laggingNodes) {
    note += note.empty() ? "lagging: " : ", ";
    note += it;
  }
  return note;
}

void PrintStatusRow(const PlatformObject& aObject)
{
  const std::string version = std::to_string(aObject.specVersion);
  const auto status = StatusFromJson(aObject.status);
  if (!status) {
    PrintRow({ aObject.kind, aObject.name, version, "-", "-", "no status yet" });
    return;
  }
  const ResourceStatus& value = status.Value();
  const std::string nodes =
    std::to_string(value.nodesInForce) + "/" + std::to_string(value.nodesAlive);
  const bool isOld = value.specVersion != aObject.specVersion;
  PrintRow({ aObject.kind,
             aObject.name,
             version,
             std::to_string(value.inForceVersion),
             nodes,
             isOld ? "status is about an older version" : NoteOf(value) });
}

} // namespace

ExitCode PrintFailure(const Failure& aFailure)
{
  std::cerr << "mwctl: " << aFailure.code.message() << " (" << aFailure.code.value()
            << "): " << aFailure.detail << '\n';
  return ExitCodeOf(aFailure);
}

void PrintObject(const PlatformObject& aObject, bool aJson)
{
  if (aJson) {
    std::cout << DumpJson(ToJson(aObject)) << std::endl;
    return;
  }
  std::cout << aObject.kind << '/' << aObject.name << " specVersion " << aObject.specVersion << ' '
            << (aObject.deleted ? "deleted" : DumpJson(aObject.spec)) << std::endl;
}

void PrintStatus(const std::vector<PlatformObject>& aObjects, bool aJson)
{
  if (aJson) {
    json list = json::array();
    for (const PlatformObject& it : aObjects) {
      list.push_back({ { "kind", it.kind },
                       { "name", it.name },
                       { "specVersion", it.specVersion },
                       { "status", it.status } });
    }
    std::cout << DumpJson(list) << '\n';
    return;
  }
  PrintRow({ "KIND", "NAME", "VERSION", "IN FORCE", "NODES", "NOTE" });
  for (const PlatformObject& it : aObjects) {
    PrintStatusRow(it);
  }
}

} // namespace mustardwinch
