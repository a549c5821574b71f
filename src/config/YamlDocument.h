#pragma once

#include "config/FieldProblem.h"
#include "mustardwinch/Result.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * One document of a YAML text as JSON, with the line of each field. Plain scalars become null,
 * booleans and decimal numbers; all others, such as quoted ones, are strings.
 */
class YamlDocument
{
public:
  /** Reads all documents of the text. kYamlMalformed names the line. */
  static Result<std::vector<YamlDocument>> ParseAll(const std::string& aText);

  YamlDocument(nlohmann::json aValue,
               std::map<std::string, int> aLines,
               std::vector<FieldProblem> aProblems);

  const nlohmann::json& Value() const { return mValue; }

  /** Keys that stand twice. */
  const std::vector<FieldProblem>& Problems() const { return mProblems; }

  /** Line, from 1, of a field such as "limits.slices" or "seeds[1]", or of what would hold it. */
  int LineOf(std::string aField) const;

private:
  nlohmann::json mValue;
  std::map<std::string, int> mLines;
  std::vector<FieldProblem> mProblems;
};

} // namespace mustardwinch
