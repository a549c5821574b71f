#include "platform/PlatformJson.h"

#include "platform/JsonText.h"

#include <cstdint>
#include <optional>

namespace mustardwinch {
namespace {

using nlohmann::json;

Failure BadAnswer(std::string aDetail)
{
  return { ResultCode::kPlatformBadAnswer, std::move(aDetail) };
}

Failure Rejected(std::string aDetail)
{
  return { ResultCode::kPlatformRejected, std::move(aDetail) };
}

bool Matches(const json& aValue, const std::string&)
{
  return aValue.is_string();
}

bool Matches(const json& aValue, const std::uint64_t&)
{
  return aValue.is_number_unsigned();
}

bool Matches(const json& aValue, const bool&)
{
  return aValue.is_boolean();
}

/** Reads members of a JSON object and remembers the first that is missing or of the wrong type. */
class FieldReader
{
public:
  explicit FieldReader(const json& aJson)
    : mJson(aJson)
  {
  }

  template<typename T>
  void Read(const char* aName, T& aTarget)
  {
    const auto it = mJson.find(aName);
    if (it == mJson.end() || !Matches(*it, aTarget)) {
      mWrong = mWrong.value_or(aName);
      return;
    }
    aTarget = it->get<T>();
  }

  void Read(const char* aName, json& aTarget)
  {
    const auto it = mJson.find(aName);
    if (it == mJson.end()) {
      mWrong = mWrong.value_or(aName);
      return;
    }
    aTarget = *it;
  }

  /** Name of the first wrong field. */
  const std::optional<std::string>& Wrong() const { return mWrong; }

private:
  const json& mJson;
  std::optional<std::string> mWrong;
};

bool ReadFault(const std::string& aName, const json& aValue, PlatformFaults& aFaults)
{
  if (aName == "outage") {
    aFaults.outage = aValue.is_boolean() && aValue.get<bool>();
    return aValue.is_boolean();
  }
  if (!aValue.is_number_unsigned() || aValue.get<std::uint64_t>() > UINT32_MAX) {
    return false;
  }
  const auto n = aValue.get<std::uint32_t>();
  if (aName == "latencyMs") {
    aFaults.latencyMs = n;
  } else if (aName == "dropWrites") {
    aFaults.dropWrites = n;
  } else if (aName == "loseReplies") {
    aFaults.loseReplies = n;
  } else if (aName == "staleReads") {
    aFaults.staleReads = n;
  } else if (aName == "malformedAnswers") {
    aFaults.malformedAnswers = n;
  } else {
    return false;
  }
  return true;
}

} // namespace

json ToJson(const PlatformObject& aObject)
{
  return { { "kind", aObject.kind },
           { "name", aObject.name },
           { "version", aObject.version },
           { "specVersion", aObject.specVersion },
           { "spec", aObject.spec },
           { "status", aObject.status },
           { "writer", aObject.writer },
           { "operation", aObject.operation },
           { "statusOperation", aObject.statusOperation },
           { "deleted", aObject.deleted } };
}

json ToJson(const PlatformChanges& aChanges)
{
  json objects = json::array();
  for (const PlatformObject& it : aChanges.objects) {
    objects.push_back(ToJson(it));
  }
  return { { "revision", aChanges.revision }, { "objects", std::move(objects) } };
}

json ToJson(const PlatformCounts& aCounts)
{
  return { { "gets", aCounts.gets },
           { "lists", aCounts.lists },
           { "writes", aCounts.writes },
           { "watches", aCounts.watches } };
}

json ToJson(const PlatformFaults& aFaults)
{
  return { { "outage", aFaults.outage },         { "latencyMs", aFaults.latencyMs },
           { "dropWrites", aFaults.dropWrites }, { "loseReplies", aFaults.loseReplies },
           { "staleReads", aFaults.staleReads }, { "malformedAnswers", aFaults.malformedAnswers } };
}

json WriteBodyToJson(const PlatformWrite& aWrite)
{
  return { { "writer", aWrite.writer },
           { "operation", aWrite.operation },
           { "body", aWrite.body } };
}

Result<PlatformObject> ObjectFromJson(const json& aJson)
{
  if (!aJson.is_object()) {
    return BadAnswer("an object of the platform is no JSON object");
  }
  PlatformObject object;
  FieldReader reader(aJson);
  reader.Read("kind", object.kind);
  reader.Read("name", object.name);
  reader.Read("version", object.version);
  reader.Read("specVersion", object.specVersion);
  reader.Read("spec", object.spec);
  reader.Read("status", object.status);
  reader.Read("writer", object.writer);
  reader.Read("operation", object.operation);
  reader.Read("statusOperation", object.statusOperation);
  reader.Read("deleted", object.deleted);
  if (reader.Wrong()) {
    return BadAnswer("the field " + *reader.Wrong() + " is missing or of the wrong type");
  }
  return object;
}

Result<PlatformObject> ObjectFromText(std::string_view aText)
{
  return ObjectFromJson(ParseJson(aText));
}

Result<PlatformChanges> ChangesFromText(std::string_view aText)
{
  const json parsed = ParseJson(aText);
  if (!parsed.is_object()) {
    return BadAnswer("the answer is no JSON object");
  }
  PlatformChanges changes;
  json objects;
  FieldReader reader(parsed);
  reader.Read("revision", changes.revision);
  reader.Read("objects", objects);
  if (reader.Wrong() || !objects.is_array()) {
    return BadAnswer("the field " + reader.Wrong().value_or("objects") + " is missing or wrong");
  }
  for (const json& it : objects) {
    Result<PlatformObject> object = ObjectFromJson(it);
    if (!object) {
      return object.Error();
    }
    changes.objects.push_back(std::move(object.Value()));
  }
  return changes;
}

Result<PlatformFaults> FaultsFromText(std::string_view aText)
{
  const json parsed = ParseJson(aText);
  if (!parsed.is_object()) {
    return Rejected("the faults are no JSON object");
  }
  PlatformFaults faults;
  for (const auto& [name, value] : parsed.items()) {
    if (!ReadFault(name, value, faults)) {
      return Rejected("the fault " + name + " is unknown or has a wrong value");
    }
  }
  return faults;
}

Result<PlatformWrite> WriteFromText(std::string_view aText, PlatformWrite aWrite)
{
  const json parsed = ParseJson(aText);
  if (!parsed.is_object()) {
    return Rejected("the body is no JSON object");
  }
  FieldReader reader(parsed);
  reader.Read("writer", aWrite.writer);
  reader.Read("operation", aWrite.operation);
  reader.Read("body", aWrite.body);
  if (reader.Wrong()) {
    return Rejected("the field " + *reader.Wrong() + " is missing or of the wrong type");
  }
  return aWrite;
}

} // namespace mustardwinch
