#pragma once

#include "fleet/FleetMessage.h"
#include "fleet/RolloutMessage.h"
#include "mustardwinch/Clock.h"
#include "rollout/RolloutCoordinator.h"
#include "rollout/RolloutTable.h"
#include "sidecar/PlatformBinding.h"
#include "sidecar/RolloutSettings.h"
#include "store/ObjectStore.h"
#include "store/StorePosition.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * This node's part in roll-outs: follows the orders of the store, obeys the steps that coordinators
 * tell, reports what the upstream beside it did, and coordinates where it is the first in rank. See
 * docs/design/rollouts.md.
 */
class RolloutAgent
{
public:
  /** A node that is reached now, and the upstream beside it. */
  struct Member
  {
    std::string vm;
    std::string service;
    std::string version;
    bool reachesStore = true;
  };

  /** What the agent needs of its node. */
  struct Delegate
  {
    std::function<std::vector<Member>()> members; //!< this node among them
    std::function<void(const std::string& aVm, const std::string& aFrame)> send;
    std::function<RolloutReport()>
      report; //!< of the gate; service, vm, version, warm, running, routes
    std::function<void()> beginEvidence; //!< the gate counts anew from now on
    std::function<bool(const std::string& aService)> isServiceKnown;
    std::function<void()> onChange; //!< what the gate may start has changed
  };

  RolloutAgent(Clock& aClock,
               const RolloutSettings& aSettings,
               const PlatformBinding& aBinding,
               const ObjectStore& aStore,
               std::string aVm,
               Delegate aDelegate);

  bool IsEnabled() const { return mSettings.enabled; }

  // What the store tells.
  void OnList(const std::vector<StoredObject>& aObjects, StorePosition aAt);
  void OnChange(const StoredObject& aObject, StorePosition aAt);

  // What peers tell.
  void ApplyPush(const StatePushMessage& aPush);
  StatePushMessage MakePush() const;
  void OnStep(const RolloutStepMessage& aMessage);
  void OnReport(const RolloutReportMessage& aMessage);

  /** Called several times a second. */
  void Tick();

  // Decisions for the ingress and the gate; see RolloutTable.
  bool DrawTarget(const std::string& aService);
  VersionRule RuleFor(const std::string& aService, bool aDrawn) const;
  bool MayRun(const std::string& aService,
              const std::string& aVersion,
              const std::string& aMeantFor) const;

  /** Whether upstreams of a version get any request; false while no list of the orders is known. */
  bool IsInUse(const std::string& aService, const std::string& aVersion) const;

  StorePosition At() const { return mTable.At(); }
  std::string MetricsText() const;

private:
  std::string CoordinatorOf(const std::string& aService, const std::vector<Member>& aMembers) const;
  RolloutCoordinator& CoordinatorFor(const RolloutOrder& aOrder);
  void Report(const StoredRollout& aRollout, const std::string& aCoordinator);
  void Lead(const StoredRollout& aRollout, const std::vector<Member>& aMembers);
  void TellStep(const RolloutStep& aStep, const std::vector<Member>& aMembers);
  void Obey(const RolloutStep& aStep);
  void WriteStatus(const StoredRollout& aRollout, const RolloutStatus& aStatus);
  void OnStatusWritten(const std::string& aService,
                       const RolloutStatus& aStatus,
                       const StoreReply& aReply);
  RolloutStatus NextStatus(const StoredRollout& aRollout,
                           const RolloutCoordinator& aCoordinator,
                           const std::vector<RolloutCoordinator::LiveGate>& aGates) const;
  void Remember(const StoredObject& aObject);

  Clock& mClock;
  const RolloutSettings& mSettings;
  const PlatformBinding& mBinding;
  const ObjectStore& mStore;
  const std::string mVm;
  const Delegate mDelegate;
  RolloutTable mTable;
  std::map<std::string, StoredObject> mObjects; //!< as stored, for peers
  std::map<std::string, std::unique_ptr<RolloutCoordinator>> mCoordinators; //!< by service
  std::uint64_t mEvidenceOrder = 0; //!< order since which the gate counts
  TimePoint mNextRound{};           //!< of reports and steps
  TimePoint mNextWrite{};           //!< of a status
  bool mWriting = false;
  std::uint64_t mSteps = 0; //!< steps obeyed
  std::uint64_t mDrawn = 0; //!< requests chosen for a new version
  /** Guards the store's replies, which may come after the agent is gone. */
  const std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace mustardwinch
