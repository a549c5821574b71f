#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** Fleet-wide limit on retried requests to a service. */
struct RetrySettings
{
  // Default ratio: a fifth of the requests, as is usual for retry budgets.
  double ratio = 0.2;
  double slack = 20; //!< retries of the whole fleet per window, in addition to the ratio
  Seconds window{ 10 };

  bool operator==(const RetrySettings&) const = default;
};

} // namespace mustardwinch
