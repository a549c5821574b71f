#pragma once

#include "fleet/LinkTable.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/Organisation.h"
#include "quota/LocalRateShares.h"
#include "quota/RateFleetView.h"
#include "quota/RateOwner.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace mustardwinch {

/** Acquires tokens of one kind of rate: from this node if it is the owner, from the owner, or, if
 * no owner decides, from this node's local share of the rate. */
class RateTokenBroker
{
public:
  using VerdictFn = std::function<void(RateVerdict)>;

  /** @param aKind what the tokens are for; each kind has its own owners */
  RateTokenBroker(Clock& aClock,
                  std::string aSelf,
                  LinkTable& aLinks,
                  RateKind aKind,
                  const RateSettings& aSettings);

  /** aDone is called once, now or later, with a decision. */
  void Acquire(const Organisation& aOrganisation, VerdictFn aDone);

  /** Counts a retried request of the organisation, which is charged with the next token request. */
  void OnRetry(const std::string& aOrganisation) { ++mUnchargedRetries[aOrganisation]; }

  /**
   * Answers the token request of another node. A node that cannot reach the owner sends its request
   * to the next node in rank, which relays it once.
   */
  void Serve(const Organisation& aOrganisation, const RateAskMessage& aAsk, const VerdictFn& aDone);

  /** Updates the view of the fleet. @return whether owners may have changed */
  bool SetFleet(const RateFleetView& aFleet);

  /** Completes token requests that timed out. Called several times per second. */
  void Tick();

private:
  struct Pending
  {
    Organisation organisation;
    VerdictFn done;
    TimePoint until{};
    std::uint32_t advances = 0; //!< with which the owner is charged if it answers
  };

  void Complete(const std::weak_ptr<Pending>& aPending, RateVerdict aVerdict);
  /** Returns the owner's verdict or, if it made none, that of the local share. */
  RateVerdict Settle(const Organisation& aOrganisation,
                     std::uint32_t aAdvances,
                     RateVerdict aVerdict);

  Clock& mClock;
  const std::string mSelf;
  LinkTable& mLinks;
  const RateKind mKind;
  RateOwner mOwner;
  LocalRateShares mLocal;
  std::list<std::shared_ptr<Pending>> mPending;
  std::map<std::string, std::uint32_t> mUnchargedRetries; //!< by organisation
};

} // namespace mustardwinch
