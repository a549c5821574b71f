#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Kinds of objects in the platform's store that the fleet works with. */
enum class StoredKind : std::uint8_t
{
  kConfig,      //!< configurations of operators
  kEvacuations, //!< failure domains that take no new work, by name
  kMembers,     //!< nodes of the fleet, written by themselves
  kRollouts,    //!< orders to move a service to another version, by service
};

/** One object of the platform's store. */
struct StoredObject
{
  std::string name;
  std::uint64_t revision = 0; //!< of its last change
  nlohmann::json spec;
  bool removed = false;             //!< in a watch: the object is gone
  std::uint64_t epoch = 0;          //!< of the history in which the revision counts
  nlohmann::json status{};          //!< written by the fleet; null if it never was
  std::uint64_t createRevision = 0; //!< of its creation; 0 if the store does not tell

  bool operator==(const StoredObject&) const = default;
};

} // namespace mustardwinch
