#pragma once

#include "health/EjectionReason.h"

namespace mustardwinch {

/** A gate's assessment of one of its upstreams. */
struct UpstreamVerdict
{
  EjectionReason reason = EjectionReason::kNone;
  double badness = 0; //!< strength of the evidence; the greater, the worse

  bool IsBad() const { return reason != EjectionReason::kNone; }

  bool operator==(const UpstreamVerdict&) const = default;
};

} // namespace mustardwinch
