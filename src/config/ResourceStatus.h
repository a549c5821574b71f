#pragma once

#include "mustardwinch/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** What the system reports about a resource, in the status of its platform object. */
struct ResourceStatus
{
  /** More nodes that lag are counted, but not named. */
  static constexpr std::size_t kMaxNamedNodes = 20;

  std::uint64_t specVersion = 0;         //!< version of the spec that this is about
  std::uint64_t inForceVersion = 0;      //!< newest valid version that nodes use; 0 if none
  std::uint32_t nodesInForce = 0;        //!< nodes that use that version
  std::uint32_t nodesAlive = 0;          //!< nodes that are known to be alive
  std::vector<std::string> laggingNodes; //!< VMs of some nodes that use an older version, sorted
  std::string error;                     //!< why the version is not in force; empty if it is valid
  std::vector<std::string> warnings;     //!< see CheckReferences()

  bool operator==(const ResourceStatus&) const = default;

  /** Whether all nodes use the spec that this is about. */
  bool IsInForceEverywhere() const;
};

nlohmann::json ToJson(const ResourceStatus& aStatus);

/** kPlatformBadAnswer names the field that is wrong. */
Result<ResourceStatus> StatusFromJson(const nlohmann::json& aJson);

} // namespace mustardwinch
