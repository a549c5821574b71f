#include "quota/TokenBucket.h"

#include <algorithm>

namespace mustardwinch {

bool TokenBucket::TryTake(TimePoint aNow, double aRate, double aBurst)
{
  const double seconds = std::chrono::duration<double>(aNow - mUpdated).count();
  mUpdated = std::max(mUpdated, aNow);
  mLevel = std::min(std::max(1.0, aBurst), mLevel + std::max(0.0, seconds) * aRate);
  if (mLevel < 1) {
    return false;
  }
  mLevel -= 1;
  return true;
}

Duration TokenBucket::TimeToToken(double aRate) const
{
  if (aRate <= 0) {
    return Seconds(1);
  }
  const double missing = std::max(0.0, 1 - mLevel);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / aRate));
}

} // namespace mustardwinch
