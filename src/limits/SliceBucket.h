#pragma once

#include "limits/GrantKey.h"
#include "limits/RateShare.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <vector>

namespace mustardwinch {

/**
 * The owner's token bucket for one organisation in one slice. The level plus the outstanding grants
 * never grows beyond the burst, so over any window of length t no more than rate * t + burst tokens
 * can be spent across all ingresses. A grant is subtracted before it is sent. Times passed in must
 * not decrease.
 */
class SliceBucket
{
public:
  SliceBucket(const RateShare& aShare, double aLevel, TimePoint aNow);

  /** Sets the rate and burst from aNow on. Tokens beyond the new burst are dropped. */
  void SetShare(const RateShare& aShare, TimePoint aNow);

  /** Counts tokens that an earlier owner may have granted as outstanding until aExpiry. */
  void Reserve(double aTokens, TimePoint aExpiry, TimePoint aNow);

  /**
   * Takes tokens for a grant that has certainly expired at aExpiry.
   *
   * @param aNeed granted as far as tokens are available
   * @param aPrefetch granted from only a part of the surplus, to leave tokens for other ingresses
   * @return tokens of the grant; for a key that is already outstanding, those of that grant
   */
  std::uint32_t Grant(const GrantKey& aKey,
                      std::uint32_t aNeed,
                      std::uint32_t aPrefetch,
                      TimePoint aExpiry,
                      TimePoint aNow);

  /**
   * Records that the ingress may still spend aHeld tokens of the grant and returns aReturned. Has
   * no effect on an expired or settled grant, so a return is credited at most once.
   */
  void Settle(const GrantKey& aKey, std::uint32_t aHeld, std::uint32_t aReturned, TimePoint aNow);

  /** Accrues tokens and removes expired grants. */
  void Advance(TimePoint aNow);

  double Level() const { return mLevel; }
  double Outstanding() const { return mOutstanding; }
  const RateShare& Share() const { return mShare; }

  /** No grant is outstanding and the level has reached the burst. */
  bool IsFull() const { return mGrants.empty() && mLevel >= mShare.burst; }

  /** Time until a whole token is available if nothing is granted or returned meanwhile. */
  Duration TimeToNextToken() const;

private:
  struct OutstandingGrant
  {
    GrantKey key;
    double tokens = 0;
    TimePoint expiry;
  };

  void AccrueUntil(TimePoint aNow);
  void Insert(const OutstandingGrant& aGrant);
  void ClampLevel();

  RateShare mShare;
  double mLevel = 0;
  double mOutstanding = 0;
  TimePoint mAccruedAt;
  std::vector<OutstandingGrant> mGrants; //!< ordered by expiry
};

} // namespace mustardwinch
