#pragma once

#include "limits/GrantKey.h"
#include "limits/RateShare.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <vector>

namespace mustardwinch {

/**
 * The tokens of one organisation in one slice, at the owner. Tokens are conserved: the level and
 * the outstanding grants together never grow beyond the burst, so over any window of length t no
 * more than rate * t + burst tokens can be spent, wherever they are. A grant is subtracted before
 * it is sent. Time never goes back.
 */
class SliceBucket
{
public:
  SliceBucket(const RateShare& aShare, double aLevel, TimePoint aNow);

  /** Changes rate and burst from now on. Tokens beyond the new burst are dropped. */
  void SetShare(const RateShare& aShare, TimePoint aNow);

  /** Counts tokens as outstanding that an earlier owner may have granted. */
  void Hold(double aTokens, TimePoint aExpiry, TimePoint aNow);

  /**
   * Takes tokens out for a grant that is certainly gone at aGone.
   *
   * @param aNeed given as far as there are tokens
   * @param aPrefetch given out of a part of the surplus only, so that others find tokens
   * @return tokens of the grant; the same again for a key that is outstanding
   */
  std::uint32_t Grant(const GrantKey& aKey,
                      std::uint32_t aNeed,
                      std::uint32_t aPrefetch,
                      TimePoint aExpiry,
                      TimePoint aNow);

  /**
   * The ingress may still spend aHeld tokens of the grant and gives aReturned back. Does nothing
   * for a grant that is gone, so that a return is credited at most once.
   */
  void Settle(const GrantKey& aKey, std::uint32_t aHeld, std::uint32_t aReturned, TimePoint aNow);

  /** Accrues tokens and forgets grants that are gone. */
  void Advance(TimePoint aNow);

  double Level() const { return mLevel; }
  double Outstanding() const { return mOutstanding; }
  const RateShare& Share() const { return mShare; }

  /** Nothing is outstanding and no more tokens can accrue. */
  bool IsFull() const { return mGrants.empty() && mLevel >= mShare.burst; }

  /** The time until there is a whole token, if nothing is granted or returned meanwhile. */
  Duration TimeToNextToken() const;

private:
  struct OutstandingGrant
  {
    GrantKey key;
    double tokens = 0;
    TimePoint gone;
  };

  void AccrueUntil(TimePoint aNow);
  void Insert(const OutstandingGrant& aGrant);
  void ClampLevel();

  RateShare mShare;
  double mLevel = 0;
  double mOutstanding = 0;
  TimePoint mAccruedAt;
  std::vector<OutstandingGrant> mGrants; //!< the first to go comes first
};

} // namespace mustardwinch
