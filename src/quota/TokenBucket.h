#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** A token bucket that starts empty unless a level is given. */
class TokenBucket
{
public:
  explicit TokenBucket(TimePoint aStart, double aLevel = 0)
    : mLevel(aLevel)
    , mUpdated(aStart)
  {
  }

  /** Takes one token if there is one. @param aRate tokens per second @param aBurst capacity */
  bool TryTake(TimePoint aNow, double aRate, double aBurst);

  /** Subtracts tokens that were used without a request; the level may become negative. */
  void Charge(double aTokens) { mLevel -= aTokens; }

  /** Time until one token is available. */
  Duration TimeToToken(double aRate) const;

private:
  double mLevel;
  TimePoint mUpdated;
};

} // namespace mustardwinch
