#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** A conditional write of one object. */
struct PlatformWrite
{
  /** Which part is written. */
  enum class Part : std::uint8_t
  {
    kSpec,
    kStatus,
    kDelete,
  };

  std::string kind;
  std::string name;
  Part part = Part::kSpec;
  std::uint64_t expectedVersion = 0; //!< 0: the object must not exist
  nlohmann::json body;
  std::string writer;
  std::string operation; //!< unique for each intended write, the same when it is sent again

  bool operator==(const PlatformWrite&) const = default;
};

} // namespace mustardwinch
