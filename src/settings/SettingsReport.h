#pragma once

#include "config/FieldProblem.h"
#include "mustardwinch/Result.h"
#include "settings/SettingsProblem.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mustardwinch {

/** Settings that were read, or all reasons why they cannot be used. */
template<typename T>
struct SettingsReport
{
  Result<T> settings; //!< kSettingsUnreadable or kSettingsInvalid if there are problems
  std::vector<SettingsProblem> problems; //!< in order of their lines
};

/** The text of a settings file; kSettingsUnreadable if it cannot be read. */
Result<std::string> ReadSettingsText(const std::string& aPath);

/** Hands the one document of a YAML text to aRead and answers all problems in order of lines. */
std::vector<SettingsProblem> CheckSettingsText(
  const std::string& aText,
  const std::string& aFile,
  const std::function<void(const nlohmann::json&, std::vector<FieldProblem>&)>& aRead);

/** A report of problems; there must be one. */
template<typename T>
SettingsReport<T> FailedSettings(ResultCode aCode, std::vector<SettingsProblem> aProblems)
{
  const std::string first = aProblems.front().ToString();
  return { { aCode, first }, std::move(aProblems) };
}

/** Reads and checks the settings in a file. @param aParse checks a text */
template<typename T>
SettingsReport<T> ReadSettingsFile(
  const std::string& aPath,
  const std::function<SettingsReport<T>(const std::string&, const std::string&)>& aParse)
{
  const Result<std::string> text = ReadSettingsText(aPath);
  if (!text) {
    const FieldProblem problem{ "", "no file that can be read", "a YAML file" };
    return FailedSettings<T>(ResultCode::kSettingsUnreadable, { { aPath, 0, problem } });
  }
  return aParse(text.Value(), aPath);
}

} // namespace mustardwinch
