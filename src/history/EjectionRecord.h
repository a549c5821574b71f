#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** The set of ejected upstreams of a service, from a time on. */
struct EjectionRecord
{
  static constexpr const char* kType = "ejection";

  std::int64_t atUs = 0;
  std::string service;
  std::vector<std::string> ejected; //!< "a.b.c.d:port" of each

  bool operator==(const EjectionRecord&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EjectionRecord, atUs, service, ejected)

} // namespace mustardwinch
