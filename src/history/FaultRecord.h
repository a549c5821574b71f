#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** A fault that a test gave to an upstream. */
struct FaultRecord
{
  static constexpr const char* kType = "fault";

  std::int64_t beginUs = 0;
  std::int64_t endUs = 0; //!< 0: it lasts to the end of the history
  std::string upstream;
  std::string kind; //!< what was wrong, for the reader

  bool operator==(const FaultRecord&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FaultRecord, beginUs, endUs, upstream, kind)

} // namespace mustardwinch
