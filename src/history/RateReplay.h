#pragma once

#include <cstdint>

namespace mustardwinch {

/**
 * Tells which refusals of an organisation were wrongful. A perfect token bucket is replayed over
 * all calls; as far as fewer calls were let through than it would have let through until then,
 * refused calls were inside the rate. Which calls the fleet chose of those beyond the rate does not
 * matter.
 */
class RateReplay
{
public:
  /** @param aRate tokens a second; 0: no limit @param aBurst depth of the bucket */
  RateReplay(double aRate, double aBurst);

  /** Takes the next call, in order of time. True if it was let through, or refused wrongfully. */
  bool Add(std::int64_t aTimeUs, bool aAdmitted);

private:
  void Refill(std::int64_t aTimeUs);
  bool TakeToken();

  const double mRate;
  const double mBurst;
  double mLevel;
  std::int64_t mTimeUs = 0;
  std::int64_t mDue = 0;      //!< calls that the perfect bucket let through
  std::int64_t mAdmitted = 0; //!< calls that the fleet let through
  std::int64_t mWrongful = 0;
};

} // namespace mustardwinch
