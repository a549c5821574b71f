#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/Organisation.h"
#include "quota/TokenBucket.h"
#include "quota/RateSettings.h"
#include "quota/RateVerdict.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mustardwinch {

/** The VM that counts for an organisation: the same on all nodes that see the same VMs alive. */
std::string RateOwnerOf(const std::string& aOrganisation, const std::vector<std::string>& aLiveVms);

/**
 * The VM to ask for a token if this node does not hear the owner; it passes the ask on.
 *
 * Load pattern: paths between some pairs of nodes are cut while both reach all others.
 *
 * @param aHeard the VMs that this node hears, itself among them
 * @return empty if there is none
 */
std::string SelectRateRelay(const std::string& aOrganisation,
                      std::vector<std::string> aHeard,
                      const std::string& aSelf);

/** Place of a VM among the live ones for a duty, from 0: the same on nodes with the same view. */
std::size_t RankFor(const std::string& aDuty,
                    const std::vector<std::string>& aLiveVms,
                    const std::string& aVm);

/**
 * Counts organisations' rates for the whole fleet on the node that owns them, and keeps this node's
 * own part for the time in which no owner answers.
 *
 * Load pattern: one organisation sends many times its rate through all nodes while owners die and
 * links are cut. Whoever takes over starts with an empty bucket and only after the old owner's
 * links have gone silent everywhere, and the parts of all nodes add up to the rate and the burst: a
 * change of the owner loses tokens and makes none but for the slack that operators tolerate.
 *
 * Load pattern: all nodes restart together. The part of one of 80 nodes is no token in the seconds
 * in which no owner counts, and small organisations would be refused though they are far below
 * their rate: a new owner grants these out of the slack, and if the whole fleet has just started it
 * counts at once. Its bucket is empty, so what earlier owners granted stays within rate and burst.
 */
class RateOwner
{
public:
  RateOwner(std::string aSelf, TimePoint aStart, const RateSettings& aSettings = {});

  /**
   * The VMs that this node sees alive, itself among them, and how many there should be. Called some
   * times a second; a longer gap means that the node was suspended, and it begins as a new owner.
   *
   * @param aRestarted most VMs are heard and all of these started a moment ago, this one too: a new
   *   owner counts at once, as there is no old one
   * @return whether owners may have changed
   */
  bool SetFleet(TimePoint aNow,
                std::vector<std::string> aLiveVms,
                std::size_t aKnownVms,
                bool aRestarted = false);

  /** The owner of an organisation in this node's view. */
  const std::string& OwnerOf(const std::string& aOrganisation);

  /** A node of the fleet asks for a token. @param aRepeats requests to be charged besides */
  RateVerdict Take(TimePoint aNow, const Organisation& aOrganisation, std::uint32_t aRepeats = 0);

  /**
   * Takes a token of this node's own part. A part that was not asked lately begins with a random
   * level whose mean is the node's part of the burst: the parts of all nodes add up to the burst
   * though each can only grant whole tokens.
   */
  RateVerdict TakeLocalToken(TimePoint aNow, const Organisation& aOrganisation);

private:
  struct Entry
  {
    std::string owner;
    TimePoint ownedSince{};
    TokenBucket bucket;
    TokenBucket part;
    TimePoint partUsed{}; //!< when the part was last asked
    double advance = 0;   //!< tokens of the slack that are left
    TimePoint advanced{}; //!< when the advance was last full
  };

  Entry& EntryOf(const std::string& aOrganisation);
  bool WasPaused(TimePoint aNow) const;
  /** Takes a token of the slack. False if none is left. */
  bool TakeAdvance(TimePoint aNow, Entry& aEntry) const;

  const std::string mSelf;
  const TimePoint mStart;
  const RateSettings mSettings;
  TimePoint mChanged;
  TimePoint mSeen; //!< the last call of SetFleet
  std::vector<std::string> mLive;
  std::size_t mKnown = 1;
  bool mRestarted = false; //!< all VMs have just started
  std::map<std::string, Entry> mEntries;
  std::mt19937_64 mRandom;
};

} // namespace mustardwinch
