#pragma once

#include "health/EjectionReason.h"
#include "mustardwinch/Address.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Ejection of one upstream from load balancing in the whole fleet. */
struct Ejection
{
  Address upstream;
  std::string instance; //!< a restart gives the upstream a new instance and so ends the ejection
  EjectionReason reason = EjectionReason::kNone;
  double badness = 0;        //!< strength of the evidence; the greater, the worse
  std::uint64_t sinceMs = 0; //!< milliseconds since the epoch; only shown to operators

  bool operator==(const Ejection&) const = default;
};

} // namespace mustardwinch
