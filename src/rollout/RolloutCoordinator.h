#pragma once

#include "mustardwinch/Clock.h"
#include "rollout/RolloutPlan.h"
#include "rollout/RolloutReport.h"
#include "rollout/RolloutStep.h"
#include "sidecar/RolloutSettings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardwinch {

/**
 * Leads one roll-out: collects the reports of the gates, judges the new version and decides on the
 * steps. It needs no state of its own beyond the last step that was told to all nodes, since the
 * gates' counts are cumulative; a node that takes over goes on from there.
 *
 * Load pattern: two nodes coordinate for a moment. The phases only move forward, and rolling back
 * wins over all others, so both end in the same state.
 */
class RolloutCoordinator
{
public:
  /** A gate of the service that is reached now. */
  struct LiveGate
  {
    std::string vm;
    std::string version;
  };

  /** @param aBegin when the order was written, as far as this node knows */
  RolloutCoordinator(const RolloutOrder& aOrder,
                     const RolloutSettings& aSettings,
                     TimePoint aBegin,
                     TimePoint aNow);

  /** Another coordinator, or one before this, has told a step. */
  void OnStep(const RolloutStep& aStep, TimePoint aNow);

  void OnReport(const RolloutReport& aReport, TimePoint aNow);

  /** Plans anew. @return whether the step has changed */
  bool Update(const std::vector<LiveGate>& aGates, TimePoint aNow);

  /** The step that all nodes have to obey now. */
  RolloutStep Step(TimePoint aNow) const;

  /** All reached gates of other versions have reported that they start nothing and run nothing. */
  bool MayComplete(const std::vector<LiveGate>& aGates, TimePoint aNow) const;

  const RolloutOrder& Order() const { return mOrder; }

  /** Version that most of the other upstreams have. */
  std::string BaseVersion(const std::vector<LiveGate>& aGates) const;

  const std::string& Reason() const { return mReason; }
  VersionVerdict Verdict() const { return mFacts.verdict; }
  const RolloutFacts& Facts() const { return mFacts; }

private:
  struct GateRecord
  {
    RolloutReport latest;
    TimePoint at{};
    std::deque<std::pair<TimePoint, RouteEvidence>> history; //!< of the evidence window
  };

  bool IsFresh(const GateRecord& aRecord, TimePoint aNow) const;
  std::vector<InstanceEvidence> Evidence(bool aRecent) const;
  VersionVerdict JudgeNow() const;
  void UpdateFacts(const std::vector<LiveGate>& aGates, TimePoint aNow);
  std::set<std::string> ChooseGates(std::size_t aCount, TimePoint aNow) const;
  void SetStep(RolloutPhase aPhase,
               double aShare,
               const std::set<std::string>& aGates,
               TimePoint aNow);

  const RolloutOrder mOrder;
  const RolloutSettings mSettings;
  TimePoint mBegin;
  TimePoint mStepSince;
  RolloutStep mStep;
  RolloutFacts mFacts;
  std::string mReason;
  std::map<std::string, GateRecord> mGates; //!< by VM
  std::uint64_t mLostRequests = 0;          //!< counted by gates whose counts began anew
  std::uint64_t mLostExposed = 0;
};

} // namespace mustardwinch
