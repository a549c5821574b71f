#include "limits/SliceBucket.h"

#include "limits/LeaseTerms.h"

#include <algorithm>
#include <cmath>

namespace mustardwinch {
namespace {

/** A prefetch takes at most the remaining tokens divided by this. */
constexpr double kPrefetchSurplusDivisor = 8;

constexpr double kTokenTolerance = 1e-9;

double SecondsOf(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

std::uint32_t WholeTokens(double aLevel)
{
  return static_cast<std::uint32_t>(std::max(0.0, std::floor(aLevel + kTokenTolerance)));
}

/** Accrual rate, lowered so that a fast clock does not accrue more than the configured rate. */
double AccrualRate(const RateShare& aShare)
{
  return aShare.ratePerSecond * (1 - kMaxClockDrift);
}

} // namespace

SliceBucket::SliceBucket(const RateShare& aShare, double aLevel, TimePoint aNow)
  : mShare(aShare)
  , mLevel(aLevel)
  , mAccruedAt(aNow)
{
  ClampLevel();
}

void SliceBucket::AccrueUntil(TimePoint aNow)
{
  if (aNow <= mAccruedAt) {
    return;
  }
  const double room = std::max(0.0, mShare.burst - mLevel - mOutstanding);
  mLevel += std::min(room, AccrualRate(mShare) * SecondsOf(aNow - mAccruedAt));
  mAccruedAt = aNow;
}

void SliceBucket::Advance(TimePoint aNow)
{
  while (!mGrants.empty() && mGrants.front().expiry <= aNow) {
    AccrueUntil(mGrants.front().expiry);
    mOutstanding = std::max(0.0, mOutstanding - mGrants.front().tokens);
    mGrants.erase(mGrants.begin());
  }
  AccrueUntil(aNow);
  if (mGrants.empty()) {
    mOutstanding = 0;
  }
}

void SliceBucket::ClampLevel()
{
  mLevel = std::clamp(mLevel, 0.0, std::max(0.0, mShare.burst - mOutstanding));
}

void SliceBucket::SetShare(const RateShare& aShare, TimePoint aNow)
{
  Advance(aNow);
  mShare = aShare;
  ClampLevel();
}

void SliceBucket::Insert(const OutstandingGrant& aGrant)
{
  const auto it =
    std::upper_bound(mGrants.begin(),
                     mGrants.end(),
                     aGrant,
                     [](const OutstandingGrant& aLeft, const OutstandingGrant& aRight) {
                       return aLeft.expiry < aRight.expiry;
                     });
  mGrants.insert(it, aGrant);
  mOutstanding += aGrant.tokens;
}

void SliceBucket::Reserve(double aTokens, TimePoint aExpiry, TimePoint aNow)
{
  Advance(aNow);
  if (aTokens > 0) {
    Insert({ GrantKey{}, aTokens, aExpiry });
    ClampLevel();
  }
}

std::uint32_t SliceBucket::Grant(const GrantKey& aKey,
                                 std::uint32_t aNeed,
                                 std::uint32_t aPrefetch,
                                 TimePoint aExpiry,
                                 TimePoint aNow)
{
  Advance(aNow);
  for (const OutstandingGrant& it : mGrants) {
    if (it.key == aKey) {
      return WholeTokens(it.tokens);
    }
  }
  const std::uint32_t needed = std::min(aNeed, WholeTokens(mLevel));
  const std::uint32_t spare = WholeTokens((mLevel - needed) / kPrefetchSurplusDivisor);
  const std::uint32_t tokens = needed + std::min(aPrefetch, spare);
  if (tokens > 0) {
    mLevel = std::max(0.0, mLevel - tokens);
    Insert({ aKey, static_cast<double>(tokens), aExpiry });
  }
  return tokens;
}

void SliceBucket::Settle(const GrantKey& aKey,
                         std::uint32_t aHeld,
                         std::uint32_t aReturned,
                         TimePoint aNow)
{
  Advance(aNow);
  const auto it = std::find_if(mGrants.begin(), mGrants.end(), [&](const OutstandingGrant& aGrant) {
    return aGrant.key == aKey;
  });
  if (it == mGrants.end() || aHeld >= it->tokens) {
    return;
  }
  const double freed = it->tokens - aHeld;
  it->tokens = aHeld;
  mOutstanding = std::max(0.0, mOutstanding - freed);
  if (aHeld == 0) {
    mLevel += std::min<double>(aReturned, freed);
    mGrants.erase(it);
  }
  ClampLevel();
}

Duration SliceBucket::TimeToNextToken() const
{
  const double missing = std::max(0.0, 1 - mLevel);
  const double rate = AccrualRate(mShare);
  const double limit = 3600;
  const double seconds = rate > 0 ? std::min(limit, missing / rate) : limit;
  return Duration(static_cast<std::int64_t>(seconds * 1e9));
}

} // namespace mustardwinch
