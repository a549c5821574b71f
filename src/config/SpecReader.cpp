#include "config/SpecReader.h"

#include <cassert>
#include <cmath>
#include <limits>

namespace mustardwinch {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxShownLength = 80;
constexpr std::size_t kMaxListLength = 10'000;

/** What stands in the field, in a few words. Containers are not shown: they may be deep. */
std::string Describe(const json& aValue)
{
  if (aValue.is_array()) {
    return "a list";
  }
  if (aValue.is_object()) {
    return "an object";
  }
  std::string text = aValue.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxShownLength) {
    text = text.substr(0, kMaxShownLength) + "...";
  }
  return text;
}

std::string DescribeSecret(const json& aValue)
{
  if (!aValue.is_string()) {
    return std::string("a value of type ") + aValue.type_name();
  }
  const std::size_t n = aValue.get_ref<const std::string&>().size();
  return "a string of " + std::to_string(n) + " characters (not shown)";
}

std::string FormatNumber(double aNumber)
{
  return json(aNumber).dump();
}

const json& EmptyObject()
{
  static const json kEmpty = json::object();
  return kEmpty;
}

} // namespace

SpecReader::SpecReader(const json& aSpec, std::vector<FieldProblem>& aProblems, std::string aPrefix)
  : mSpec(aSpec.is_object() ? aSpec : EmptyObject())
  , mProblems(aProblems)
  , mPrefix(std::move(aPrefix))
{
  if (!aSpec.is_object()) {
    const std::string field = mPrefix.substr(0, mPrefix.find_last_of('.'));
    mProblems.push_back({ field, Describe(aSpec), "an object with fields" });
  }
}

void SpecReader::Report(std::string aField, std::string aFound, std::string_view aAllowed)
{
  mProblems.push_back({ mPrefix + std::move(aField), std::move(aFound), std::string(aAllowed) });
}

const json* SpecReader::Find(const char* aName, Presence aPresence, std::string_view aAllowed)
{
  mKnown.insert(aName);
  const auto it = mSpec.find(aName);
  if (it != mSpec.end()) {
    return &*it;
  }
  if (aPresence == Presence::kRequired) {
    Report(aName, "nothing", aAllowed);
  }
  return nullptr;
}

std::optional<std::uint64_t> SpecReader::Whole(const char* aName,
                                               Presence aPresence,
                                               std::uint64_t aMin,
                                               std::uint64_t aMax)
{
  assert(aMin <= aMax);
  const std::string allowed =
    "a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax);
  const json* value = Find(aName, aPresence, allowed);
  if (value == nullptr) {
    return std::nullopt;
  }
  const bool isWhole = value->is_number_integer();
  const bool isNegative = isWhole && !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
  const std::uint64_t n = isWhole && !isNegative ? value->get<std::uint64_t>() : 0;
  if (!isWhole || isNegative || n < aMin || n > aMax) {
    Report(aName, Describe(*value), allowed);
    return std::nullopt;
  }
  return n;
}

void SpecReader::Unsigned(const char* aName,
                          Presence aPresence,
                          std::uint32_t aMin,
                          std::uint32_t aMax,
                          std::uint32_t& aTarget)
{
  const auto n = Whole(aName, aPresence, aMin, aMax);
  aTarget = static_cast<std::uint32_t>(n.value_or(aTarget));
}

void SpecReader::Unsigned64(const char* aName, Presence aPresence, std::uint64_t& aTarget)
{
  aTarget = Whole(aName, aPresence, 0, std::numeric_limits<std::uint64_t>::max()).value_or(aTarget);
}

void SpecReader::Number(const char* aName,
                        Presence aPresence,
                        double aMin,
                        double aMax,
                        double& aTarget)
{
  const std::string allowed = "a number from " + FormatNumber(aMin) + " to " + FormatNumber(aMax);
  const json* value = Find(aName, aPresence, allowed);
  if (value == nullptr) {
    return;
  }
  const double n = value->is_number() ? value->get<double>() : std::nan("");
  if (!std::isfinite(n) || n < aMin || n > aMax) {
    Report(aName, Describe(*value), allowed);
    return;
  }
  aTarget = n;
}

void SpecReader::Bool(const char* aName, Presence aPresence, bool& aTarget)
{
  constexpr const char* kAllowed = "true or false";
  const json* value = Find(aName, aPresence, kAllowed);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    Report(aName, Describe(*value), kAllowed);
    return;
  }
  aTarget = value->get<bool>();
}

bool SpecReader::CheckText(const std::string& aField, const json& aValue, const TextRule& aRule)
{
  if (aValue.is_string() && aRule.accepts(aValue.get_ref<const std::string&>())) {
    return true;
  }
  Report(aField, aRule.secret ? DescribeSecret(aValue) : Describe(aValue), aRule.allowed);
  return false;
}

void SpecReader::Text(const char* aName,
                      Presence aPresence,
                      const TextRule& aRule,
                      std::string& aTarget)
{
  const json* value = Find(aName, aPresence, aRule.allowed);
  if (value != nullptr && CheckText(aName, *value, aRule)) {
    aTarget = value->get<std::string>();
  }
}

void SpecReader::TextList(const char* aName,
                          Presence aPresence,
                          const TextRule& aRule,
                          std::vector<std::string>& aTarget)
{
  const std::string allowed = std::string("a list, each entry ") + aRule.allowed;
  const json* value = Find(aName, aPresence, allowed);
  if (value == nullptr) {
    return;
  }
  const bool needed = aPresence == Presence::kRequired;
  if (!value->is_array() || value->size() > kMaxListLength || (needed && value->empty())) {
    const bool hidden = aRule.secret && !value->is_array();
    const std::string size = value->is_array() ? std::to_string(value->size()) + " entries" : "";
    Report(aName,
           hidden         ? DescribeSecret(*value)
           : size.empty() ? Describe(*value)
                          : size,
           allowed + ", " + (needed ? "1" : "0") + " to " + std::to_string(kMaxListLength));
    return;
  }
  std::vector<std::string> texts;
  std::set<std::string> seen;
  for (const json& it : *value) {
    const std::string field = std::string(aName) + "[" + std::to_string(texts.size()) + "]";
    if (!CheckText(field, it, aRule)) {
      return;
    }
    texts.push_back(it.get<std::string>());
    if (!seen.insert(texts.back()).second) {
      Report(field, "an entry that stands twice", "each entry once");
      return;
    }
  }
  aTarget = std::move(texts);
}

SpecReader SpecReader::Section(const char* aName, Presence aPresence)
{
  const json* value = Find(aName, aPresence, "an object with fields");
  return { value == nullptr ? EmptyObject() : *value, mProblems, mPrefix + aName + "." };
}

void SpecReader::Finish()
{
  std::string known;
  for (const std::string& it : mKnown) {
    known += known.empty() ? "" : ", ";
    known += it;
  }
  for (const auto& [name, value] : mSpec.items()) {
    if (!mKnown.contains(name)) {
      const std::string shown = name.substr(0, kMaxShownLength);
      Report(shown, "an unknown field", known.empty() ? "no fields" : "one of: " + known);
    }
  }
}

} // namespace mustardwinch
