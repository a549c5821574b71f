#pragma once

#include "limits/LeaseTerms.h"
#include "limits/RateLayout.h"
#include "mustardwinch/VmIdentity.h"

namespace mustardwinch {

/** Settings of a RateAgent. The layout is a proposal; one on the platform takes precedence. */
struct RateAgentOptions
{
  VmIdentity self;
  RateLayout layout;
  LeaseTerms terms;
  Milliseconds requestTimeout{ 100 }; //!< for one message to an owner
  /** A holder returns a slice to a preferred owner that has been live for this long. */
  Milliseconds returnToPreferredAfter{ 30'000 };
  /** Demand in requests per second from which an ingress prefetches tokens. */
  double prefetchFromRate = 4;
};

} // namespace mustardwinch
