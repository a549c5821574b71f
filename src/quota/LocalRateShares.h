#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/Organisation.h"
#include "quota/RateFleetView.h"
#include "quota/RateSettings.h"
#include "quota/RateVerdict.h"
#include "quota/TokenBucket.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace mustardwinch {

/**
 * Tokens that one node grants itself while no owner of an organisation's rate answers.
 *
 * Load pattern: a third of the VMs are cut off while one organisation sends many times its rate
 * through all nodes. The owner, which most nodes still reach, grants the whole rate, and every node
 * that is cut off grants its share beside it.
 *
 * There are two kinds of tokens. A node's share of rate and burst is its own only if nobody else
 * grants it: if a new owner has not begun, if the node has heard most VMs since the owner fell
 * silent, so that the owner is gone, or if it has been out of contact for so long that the owner no
 * longer grants this share (see RateOwner). Until one of the two is known, the node takes advances:
 * the advances of all nodes together stay within the overrun that operators tolerate, and the owner
 * is charged with them as soon as it answers.
 */
class LocalRateShares
{
public:
  LocalRateShares(const std::string& aSelf, const RateSettings& aSettings);

  void SetFleet(const RateFleetView& aFleet) { mFleet = aFleet; }

  /** Takes a token because no owner decided. @param aOwnerIsNew an owner answered that it does not
   * grant tokens yet */
  RateVerdict Take(TimePoint aNow, const Organisation& aOrganisation, bool aOwnerIsNew);

  /** Advances with which the owner has to be charged. The caller reports what became of them with
   * OnOwnerAnswered() or OnOwnerSilent(). */
  std::uint32_t TakeUncharged(const std::string& aOrganisation);

  void OnOwnerAnswered(const std::string& aOrganisation, std::uint32_t aCharged);
  void OnOwnerSilent(TimePoint aNow, const std::string& aOrganisation, std::uint32_t aUncharged);

private:
  struct Entry
  {
    TimePoint silentSince{}; //!< when the owner fell silent; the epoch if it answers
    TimePoint shareUsed{};   //!< when the share was last used
    TimePoint advanceUsed{}; //!< when an advance was last taken
    TokenBucket share{ TimePoint{} };
    double advances = 0;         //!< that may still be taken
    std::uint32_t uncharged = 0; //!< advances that the owner does not know of
  };

  RateVerdict TakeShare(TimePoint aNow, Entry& aEntry, const Organisation& aOrganisation);
  RateVerdict TakeAdvance(TimePoint aNow, Entry& aEntry, const Organisation& aOrganisation);
  double RoundAtRandom(double aTokens);
  double OverrunPart(const Organisation& aOrganisation) const;
  double Nodes() const;

  const RateSettings mSettings;
  RateFleetView mFleet;
  std::map<std::string, Entry> mEntries; //!< by organisation
  std::mt19937_64 mRandom;
};

} // namespace mustardwinch
