#pragma once

#include "config/FieldProblem.h"
#include "config/TextRule.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwinch {

/** Whether a field must stand in a document. A field that may be absent keeps its default. */
enum class Presence : std::uint8_t
{
  kOptional,
  kRequired,
};

/**
 * Reads the fields of one JSON object into a struct and reports every field that is missing, of the
 * wrong type, out of range or unknown. A target is changed only by a right value.
 */
class SpecReader
{
public:
  /**
   * @param aSpec object to read; must outlive the reader
   * @param aProblems where problems are appended; must outlive the reader
   * @param aPrefix path of the object within the document, for the names of fields
   */
  SpecReader(const nlohmann::json& aSpec,
             std::vector<FieldProblem>& aProblems,
             std::string aPrefix = {});

  /** These read a whole number from aMin to aMax. */
  void Unsigned(const char* aName,
                Presence aPresence,
                std::uint32_t aMin,
                std::uint32_t aMax,
                std::uint32_t& aTarget);
  void Unsigned64(const char* aName, Presence aPresence, std::uint64_t& aTarget);

  /** Reads a finite number from aMin to aMax. */
  void Number(const char* aName, Presence aPresence, double aMin, double aMax, double& aTarget);

  void Bool(const char* aName, Presence aPresence, bool& aTarget);

  void Text(const char* aName, Presence aPresence, const TextRule& aRule, std::string& aTarget);

  /** Reads strings without duplicates; a required list must not be empty. */
  void TextList(const char* aName,
                Presence aPresence,
                const TextRule& aRule,
                std::vector<std::string>& aTarget);

  /** The object in this field; an empty one if there is none. */
  SpecReader Section(const char* aName, Presence aPresence);

  /** Reports the fields that nobody has read. Call it last. */
  void Finish();

private:
  std::optional<std::uint64_t> Whole(const char* aName,
                                     Presence aPresence,
                                     std::uint64_t aMin,
                                     std::uint64_t aMax);
  const nlohmann::json* Find(const char* aName, Presence aPresence, std::string_view aAllowed);
  bool CheckText(const std::string& aField, const nlohmann::json& aValue, const TextRule& aRule);
  void Report(std::string aField, std::string aFound, std::string_view aAllowed);

  const nlohmann::json& mSpec;
  std::vector<FieldProblem>& mProblems;
  std::string mPrefix;
  std::set<std::string> mKnown;
};

} // namespace mustardwinch
