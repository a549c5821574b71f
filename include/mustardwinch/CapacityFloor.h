#pragma once

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Healthy slots that ejection must leave to a service. Resource kind "floor", named as its
 * service. */
struct CapacityFloor
{
  std::string service;
  std::uint32_t slots = 0;

  bool operator==(const CapacityFloor&) const = default;
};

} // namespace mustardwinch
