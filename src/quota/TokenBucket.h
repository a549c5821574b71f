#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** A token bucket that starts empty. */
class TokenBucket
{
public:
  explicit TokenBucket(TimePoint aSince, double aLevel = 0)
    : mLevel(aLevel)
    , mLast(aSince)
  {
  }

  /** Takes one token if there is one. @param aRate tokens a second @param aBurst most tokens */
  bool TryTake(TimePoint aNow, double aRate, double aBurst);

  /** Takes tokens that were spent without asking; the level may fall below zero. */
  void Charge(double aTokens) { mLevel -= aTokens; }

  /** How long until a token is there. */
  Duration TimeToToken(double aRate) const;

private:
  double mLevel;
  TimePoint mLast;
};

} // namespace mustardwinch
