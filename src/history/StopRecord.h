#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** A planned stop of a process, from the signal to the exit. */
struct StopRecord
{
  static constexpr const char* kType = "stop";

  std::int64_t beginUs = 0;
  std::int64_t endUs = 0;
  std::string address; //!< "a.b.c.d:port" that callers or gates used

  bool operator==(const StopRecord&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopRecord, beginUs, endUs, address)

} // namespace mustardwinch
