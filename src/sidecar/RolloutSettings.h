#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** Bounds on the requests that a new version of a service receives until it is accepted. */
struct RolloutSettings
{
  bool enabled = false;     //!< the fleet follows the operators' roll-out orders
  double exposeShare = 0.1; //!< of the requests to the service, from the order to its time limit
  double exposeSlack = 0;   //!< requests in addition to the share
  Milliseconds rollback{ 5'000 }; //!< from the evidence of a bad version to its last request

  bool operator==(const RolloutSettings&) const = default;
};

} // namespace mustardwinch
