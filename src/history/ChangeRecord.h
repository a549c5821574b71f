#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** A change of a resource that the platform accepted from an operator. */
struct ChangeRecord
{
  static constexpr const char* kType = "change";

  std::int64_t acceptedUs = 0; //!< when the platform answered
  std::string kind;            //!< organisation, floor, failuredomain, leaving, ...
  std::string name;
  bool deleted = false;
  nlohmann::json spec; //!< the resource; empty if deleted

  bool operator==(const ChangeRecord&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChangeRecord, acceptedUs, kind, name, deleted, spec)

} // namespace mustardwinch
