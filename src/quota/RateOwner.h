#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/Organisation.h"
#include "quota/RateFleetView.h"
#include "quota/RateSettings.h"
#include "quota/RateVerdict.h"
#include "quota/TokenBucket.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardwinch {

/** The VM that owns an organisation's rate, by rendezvous hashing: the same on all nodes that see
 * the same VMs alive. */
std::string RateOwnerOf(const std::string& aOrganisation, const std::vector<std::string>& aLiveVms);

/**
 * The VM that relays requests for tokens to the owner if this node has no live link to it.
 *
 * Load pattern: the network paths between some pairs of nodes are cut while both nodes reach all
 * others.
 *
 * @param aReachableVms the VMs to which this node has live links, including itself
 * @return empty if there is none
 */
std::string SelectRateRelay(const std::string& aOrganisation,
                            std::vector<std::string> aReachableVms,
                            const std::string& aSelf);

/** Rank of a VM among the live ones for a task, from 0: the same on nodes with the same view. */
std::size_t RankFor(const std::string& aTask,
                    const std::vector<std::string>& aLiveVms,
                    const std::string& aVm);

/** Sorts VMs by their rank for a task, the first in rank first. */
void SortByRank(const std::string& aTask, std::vector<std::string>& aVms);

/**
 * Enforces the rates of the organisations that this node owns for the whole fleet.
 *
 * Load pattern: one organisation sends many times its rate through all nodes while owners fail and
 * links are cut. A new owner starts with an empty bucket, and only after the old owner's links have
 * gone silent on all nodes. A change of owner therefore loses tokens and creates none except within
 * the slack that operators tolerate.
 *
 * Load pattern: some of the nodes are cut off, and each of them grants its share of the rate (see
 * LocalRateShares). The owner only grants the shares of the VMs with which it has contact, so that
 * all shares add up to the rate and the burst. An owner that has no contact with most VMs grants
 * nothing; when it regains it, it starts over as a new owner, as there may have been another one.
 *
 * Load pattern: all nodes restart together. With 80 nodes, a local share is less than one token in
 * the seconds in which there is no active owner, and small organisations would be refused although
 * they are far below their rate. A new owner therefore grants them tokens out of the slack, and it
 * becomes active at once if the whole fleet has just started. Its bucket is empty, so the total
 * with the tokens of earlier owners stays within rate and burst.
 */
class RateOwner
{
public:
  RateOwner(std::string aSelf, TimePoint aStart, const RateSettings& aSettings = {});

  /**
   * Sets this node's view of the fleet. Called a few times per second; a longer gap means that the
   * node was suspended, and it starts over as a new owner. If all VMs, including this one, have
   * just started, a new owner becomes active at once, as there is no previous one.
   *
   * @return whether owners may have changed
   */
  bool SetFleet(TimePoint aNow, const RateFleetView& aFleet);

  /** The owner of an organisation in this node's view. */
  const std::string& OwnerOf(const std::string& aOrganisation);

  /** Grants or refuses a token to a node of the fleet. @param aRetries tokens to charge as well,
   * for retries and advances */
  RateVerdict Take(TimePoint aNow, const Organisation& aOrganisation, std::uint32_t aRetries = 0);

private:
  struct Entry
  {
    std::string owner;
    TimePoint ownedSince{};
    TokenBucket bucket;
    double slackTokens = 0;    //!< tokens of the slack that may still be granted
    TimePoint slackRefilled{}; //!< when slackTokens was last refilled
  };

  Entry& EntryOf(const std::string& aOrganisation);
  bool WasSuspended(TimePoint aNow) const;
  bool HasMajority(TimePoint aNow) const;
  /** Fraction of rate and burst that this node grants as the owner. */
  double OwnedFraction() const;
  /** Takes a token out of the slack. False if none is left. */
  bool TakeSlackToken(TimePoint aNow, Entry& aEntry) const;

  const std::string mSelf;
  const RateSettings mSettings;
  TimePoint mFleetChanged;
  TimePoint mLastSetFleet; //!< time of the last call of SetFleet()
  RateFleetView mFleet;
  std::map<std::string, Entry> mEntries; //!< by organisation
};

} // namespace mustardwinch
