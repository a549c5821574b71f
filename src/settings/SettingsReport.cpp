#include "settings/SettingsReport.h"

#include "config/YamlDocument.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace mustardwinch {

Result<std::string> ReadSettingsText(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || !text) {
    return ResultCode::kSettingsUnreadable;
  }
  return text.str();
}

std::vector<SettingsProblem> CheckSettingsText(
  const std::string& aText,
  const std::string& aFile,
  const std::function<void(const nlohmann::json&, std::vector<FieldProblem>&)>& aRead)
{
  const auto documents = YamlDocument::ParseAll(aText);
  if (!documents) {
    return { { aFile, 0, { "", documents.Error().detail, "a YAML document" } } };
  }
  const std::size_t n = documents.Value().size();
  if (n != 1) {
    return { { aFile, 0, { "", std::to_string(n) + " YAML documents", "one" } } };
  }
  const YamlDocument& document = documents.Value().front();
  std::vector<FieldProblem> found = document.Problems();
  aRead(document.Value(), found);
  std::vector<SettingsProblem> problems;
  problems.reserve(found.size());
  for (FieldProblem& it : found) {
    const int line = document.LineOf(it.field);
    problems.push_back({ aFile, line, std::move(it) });
  }
  std::stable_sort(problems.begin(), problems.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.line < aRight.line;
  });
  return problems;
}

} // namespace mustardwinch
