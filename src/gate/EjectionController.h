#pragma once

#include "config/ConfigSource.h"
#include "gate/GateScheduler.h"
#include "health/EjectionUpdater.h"
#include "health/EvidenceTable.h"
#include "membership/UpstreamDirectory.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace mustardwinch {

/**
 * Control loop of a gate: passes peer summaries to the detector, proposes ejections of the gate's
 * own upstreams, applies the agreed set, and ends ejections when the trial requests have passed or
 * the service is below its capacity floor. While the platform is unreachable nothing new is
 * ejected, but ejections still end.
 *
 * Lock order: mMutex (evidence, stop flag) is taken alone, never across a platform call.
 */
class EjectionController
{
public:
  /** Returns milliseconds since the epoch, which are only shown to operators. */
  using WallClock = std::function<std::uint64_t()>;

  /** @param aGate link address of this node. All references must outlive the agent. */
  EjectionController(Clock& aClock,
                     GateScheduler& aScheduler,
                     const UpstreamDirectory& aDirectory,
                     const ConfigSource& aConfig,
                     EjectionUpdater& aEjectionUpdater,
                     Address aGate,
                     WallClock aWallClock = {});
  ~EjectionController();

  /** Starts the thread that calls Step() about twice a second. */
  void Start();
  void Stop();

  /** Runs one iteration; may block on the platform. Must not run on two threads at once. */
  void Step();

  /** Records evidence from an ingress, see UpstreamEvidence::Encode(). False if it is malformed. */
  bool OnEvidence(const Address& aFrom, std::string_view aPayload);

  /** Records the result of a probe of one of the gate's upstreams. */
  void OnProbe(const Address& aUpstream, bool aSucceeded);

  /** Returns the status of the gate's upstreams for operators. */
  nlohmann::json Status() const;

private:
  struct ServiceState
  {
    EjectionSet lastKnown;
    bool everRead = false;            //!< the platform's set has been read at least once
    std::vector<Address> released;    //!< ended locally, not yet written to the platform
    bool platformUnreachable = false; //!< the last update failed
    TimePoint nextRead{};
  };

  using Statuses = std::vector<GateUpstreamStatus>;

  std::map<std::string, Statuses> StatusByService() const;
  void StepService(const std::string& aService, const Statuses& aOwn);
  bool NeedsUpdate(const ServiceState& aState,
                   const UpstreamDirectory::List& aList,
                   const ConfigSnapshot& aConfig,
                   const Statuses& aOwn) const;
  EjectionSet Decide(const UpstreamDirectory::List& aList,
                     const ConfigSnapshot& aConfig,
                     const Statuses& aOwn,
                     const std::vector<Address>& aReleased,
                     const EjectionSet& aCurrent) const;
  bool ShouldEject(const GateUpstreamStatus& aStatus) const;
  void ApplySet(const Statuses& aOwn, const EjectionSet& aSet);
  void ReleaseLocally(const Statuses& aOwn, ServiceState& aState);
  void SetEjected(const GateUpstreamStatus& aStatus, const Ejection* aEjection);
  std::uint64_t NowMs() const;

  Clock& mClock;
  GateScheduler& mScheduler;
  const UpstreamDirectory& mDirectory;
  const ConfigSource& mConfig;
  EjectionUpdater& mEjectionUpdater;
  const Address mGate;
  const WallClock mWallClock;
  std::map<std::string, ServiceState> mServices; //!< accessed only by Step()

  mutable std::mutex mMutex;
  EvidenceTable mEvidence;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace mustardwinch
