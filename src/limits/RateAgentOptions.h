#pragma once

#include "limits/LeaseTerms.h"
#include "limits/RateLayout.h"
#include "mustardwinch/VmIdentity.h"

namespace mustardwinch {

/** Settings of a RateAgent. The layout is a proposal; the platform's goes before it. */
struct RateAgentOptions
{
  VmIdentity self;
  RateLayout layout;
  LeaseTerms terms;
  Milliseconds requestTimeout{ 100 }; //!< for one message to an owner
  /** A holder gives way to a preferred owner that has been live for so long. */
  Milliseconds returnToPreferredAfter{ 30'000 };
  /** Demand in requests a second from which an ingress keeps tokens in stock. */
  double prefetchFromRate = 4;
};

} // namespace mustardwinch
