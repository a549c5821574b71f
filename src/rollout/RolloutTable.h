#pragma once

#include "mustardwinch/Clock.h"
#include "rollout/RolloutStep.h"
#include "rollout/StoredRollout.h"
#include "rollout/VersionRule.h"
#include "store/StorePosition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * What one node knows of all roll-outs: the orders of the store and the steps that coordinators
 * have told. Says which versions of a service a request may be sent to, and what the gate beside an
 * upstream may start.
 *
 * Load pattern: a node is cut off, or has just started, while others send a part of the requests to
 * a new version that then turns out to be bad. A step holds for a moment only; without one, the
 * node sends nothing to the new version.
 */
class RolloutTable
{
public:
  /** @param aFirstPosition differs between nodes: in step, each would wait for its first request of
   * a small share equally long */
  explicit RolloutTable(double aFirstPosition = 0.5)
    : mFirstPosition(aFirstPosition)
  {
  }

  /** All orders as of a position of the store. Earlier positions are ignored. */
  bool SetAll(const std::vector<StoredRollout>& aRollouts, StorePosition aAt, TimePoint aNow);

  /** One order was written, or its status was. */
  void Set(const StoredRollout& aRollout, StorePosition aAt, TimePoint aNow);
  void Remove(const std::string& aService, StorePosition aAt);

  /** A coordinator has told a step. @return whether it changes what this node obeys */
  bool OnStep(const RolloutStep& aStep, TimePoint aNow);

  /** Whether the next request to a service is one of those for its new version. */
  bool DrawTarget(const std::string& aService, TimePoint aNow);

  /** Where a request may go. @param aDrawn DrawTarget() chose the new version for it */
  VersionRule RuleFor(const std::string& aService, bool aDrawn, TimePoint aNow) const;

  /**
   * Whether a gate may start a request at its upstream.
   *
   * @param aVersion of the upstream @param aMeantFor version that the ingress has chosen; may be
   * empty
   */
  bool MayRun(const std::string& aService,
              const std::string& aVersion,
              const std::string& aMeantFor,
              TimePoint aNow) const;

  /** False if the upstreams of a version are given up for good, so that no gate need offer them. */
  bool IsInUse(const std::string& aService, const std::string& aVersion, TimePoint aNow) const;

  /** Orders without a final state. */
  std::vector<StoredRollout> Running() const;
  const StoredRollout* Find(const std::string& aService) const;

  /** The step that is obeyed; null if none was told. */
  const RolloutStep* StepOf(const std::string& aService) const;

  /** When the order was written, as far as it is known. */
  TimePoint BeginOf(const std::string& aService) const;

  /** A list of the orders is known. */
  bool IsKnown() const { return mKnown; }
  StorePosition At() const { return mAt; }

private:
  struct Entry
  {
    StoredRollout stored;
    bool removed = false;
    TimePoint begin{};
    std::optional<RolloutStep> step;
    TimePoint heard{}; //!< when the step was last told
    double position =
      -1; //!< below 0: not drawn yet; of the next request in the split, see DrawTarget()
  };

  /** How the versions of a service are used now. */
  enum class Use : std::uint8_t
  {
    kAny,
    kSplit, //!< a share of the requests goes to the new version
    kNewOnly,
    kWithoutNew,
  };

  /** The version that is given up is decided: no step of the order changes it any more. */
  static bool IsDecided(const Entry& aEntry);
  Use UseOf(const Entry& aEntry, TimePoint aNow) const;
  const Entry* FindEntry(const std::string& aService) const;

  const double mFirstPosition;
  std::map<std::string, Entry> mEntries; //!< by service
  StorePosition mAt;
  bool mKnown = false;
};

} // namespace mustardwinch
