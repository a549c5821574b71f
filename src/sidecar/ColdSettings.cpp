#include "sidecar/ColdSettings.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** Allows for requests that start in one second and arrive at the upstream in the next. */
constexpr double kArrivalMargin = 1;

} // namespace

double ColdSettings::StartsPerSecond(double aColdCapacity, bool aCold) const
{
  const double coldLimit = aColdCapacity * factor;
  if (aCold || aColdCapacity <= 0) {
    return coldLimit;
  }
  const double margin = boundSlack > kArrivalMargin ? kArrivalMargin : 0;
  return std::max(coldLimit, aColdCapacity * boundRatio + boundSlack - margin);
}

} // namespace mustardwinch
