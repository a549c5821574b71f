#pragma once

#include "config/Resource.h"
#include "membership/Record.h"
#include "mustardwinch/Result.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace mustardwinch {

/** Turns the spec of an object into a resource; kResourceUnknownKind for kinds of other parts. */
using ResourceParser = std::function<Result<Resource>(const std::string& aKind,
                                                      const std::string& aName,
                                                      const nlohmann::json& aSpec)>;

/** A record of the configuration as the object that it holds. */
struct ConfigRecord
{
  std::string kind;
  std::string name;
  std::uint64_t version = 0;
  bool deleted = false;
  nlohmann::json spec; //!< null if deleted

  bool operator==(const ConfigRecord&) const = default;

  /** kResourceInvalid if the key has no kind or the content is not the encoding of a spec. */
  static Result<ConfigRecord> Read(const Record& aRecord);

  /** The record of an object; null if its name or spec is too large. */
  static Record::Ptr Make(const ConfigRecord& aObject);
};

/** The resource in a record. */
Result<Resource> ParseConfigRecord(const Record& aRecord, const ResourceParser& aParser);

} // namespace mustardwinch
