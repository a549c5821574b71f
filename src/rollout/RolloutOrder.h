#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** An operator's order to move the traffic of a service to the upstreams of another version. */
struct RolloutOrder
{
  std::string service;
  std::string target;         //!< the new version
  Milliseconds duration{ 0 }; //!< time limit, from the write of the order
  std::uint64_t id = 0;       //!< differs between the orders for a service

  bool operator==(const RolloutOrder&) const = default;
};

} // namespace mustardwinch
