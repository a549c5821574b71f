#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** One object of the platform's object API. Spec and status are written apart. */
struct PlatformObject
{
  std::string kind;
  std::string name;
  std::uint64_t version = 0;     //!< grows with every write to any object of the platform
  std::uint64_t specVersion = 0; //!< version of the last write of the spec, or of the deletion
  nlohmann::json spec;
  nlohmann::json status;
  std::string writer;          //!< process that last wrote the spec or deleted the object
  std::string operation;       //!< id of that write, so that a writer whose reply was lost knows it
  std::string statusOperation; //!< id of the last write of the status; empty if there was none
  bool deleted = false;        //!< only in watch events and lists of tombstones
  bool copied = false;         //!< last written before this history of the platform began

  bool operator==(const PlatformObject&) const = default;
};

} // namespace mustardwinch
