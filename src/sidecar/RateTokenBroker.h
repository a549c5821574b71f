#pragma once

#include "fleet/LinkTable.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/Organisation.h"
#include "quota/RateOwner.h"
#include "sidecar/RateFleetView.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace mustardwinch {

/** Gets tokens of one kind of rate: from this node, from the owner, or from the own part. */
class RateTokenBroker
{
public:
  using VerdictFn = std::function<void(RateVerdict)>;

  /** @param aKind what the tokens are for; each kind has owners of its own */
  RateTokenBroker(Clock& aClock,
                  std::string aSelf,
                  LinkTable& aLinks,
                  RateKind aKind,
                  const RateSettings& aSettings);

  /** aDone is called once, now or later; never with kNotOwner. */
  void Acquire(const Organisation& aOrganisation, VerdictFn aDone);

  /** A request of the organisation is sent once more; the next ask pays for it. */
  void OnRetry(const std::string& aOrganisation) { ++mUnchargedRetries[aOrganisation]; }

  /**
   * Another node asks. A node that is cut off from the owner takes the next best for it; that one
   * passes the ask on, once.
   */
  void Serve(const Organisation& aOrganisation, const RateAskMessage& aAsk, const VerdictFn& aDone);

  /** Takes the view of the fleet over. @return whether owners may have changed */
  bool SetFleet(const RateFleetView& aFleet);

  /** Ends asks that got no answer. Several times a second. */
  void Tick();

private:
  struct Pending
  {
    Organisation organisation;
    VerdictFn done;
    TimePoint until{};
  };

  void Complete(const std::weak_ptr<Pending>& aPending, RateVerdict aVerdict);

  Clock& mClock;
  const std::string mSelf;
  LinkTable& mLinks;
  const RateKind mKind;
  RateOwner mOwner;
  std::list<std::shared_ptr<Pending>> mPending;
  std::map<std::string, std::uint32_t> mUnchargedRetries; //!< not paid yet, by organisation
};

} // namespace mustardwinch
