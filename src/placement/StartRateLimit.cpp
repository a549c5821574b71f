#include "placement/StartRateLimit.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Seconds kWindow{ 1 };

} // namespace

bool StartRateLimit::Allows(TimePoint aNow, double aPerSecond) const
{
  if (aPerSecond <= 0) {
    return true;
  }
  return Remaining(aNow, aPerSecond) >= 1;
}

double StartRateLimit::Remaining(TimePoint aNow, double aPerSecond) const
{
  const auto counted = std::count_if(mStarts.begin(), mStarts.end(), [&](TimePoint aStart) {
    return aNow - aStart < kWindow && aStart >= mWarmAsOf;
  });
  return std::max(1.0, aPerSecond) - static_cast<double>(counted);
}

void StartRateLimit::OnStart(TimePoint aNow)
{
  while (!mStarts.empty() && aNow - mStarts.front() >= kWindow) {
    mStarts.pop_front();
  }
  mStarts.push_back(aNow);
}

void StartRateLimit::OnDelayedStart(TimePoint aBefore, TimePoint aNow)
{
  const auto counted = std::lower_bound(mStarts.begin(), mStarts.end(), aBefore);
  if (counted != mStarts.end() && *counted == aBefore) {
    mStarts.erase(counted);
  }
  OnStart(aNow);
}

} // namespace mustardwinch
