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
 * The control loop of a gate: hands the detector its peers, proposes ejections of the gate's own
 * upstreams, applies what was agreed, and ends ejections after good trials or below the floor.
 * While the platform is away nothing new is ejected, but ejections still end.
 *
 * Lock order: mMutex (evidence, status) is taken alone, never across a platform call.
 */
class GateAgent
{
public:
  /** Milliseconds since the epoch, for operators only. */
  using WallClock = std::function<std::uint64_t()>;

  /** @param aGate link address of this node. All references must outlive the agent. */
  GateAgent(Clock& aClock,
            GateScheduler& aScheduler,
            const UpstreamDirectory& aDirectory,
            const ConfigSource& aConfig,
            EjectionUpdater& aEjectionUpdater,
            Address aGate,
            WallClock aWallClock = {});
  ~GateAgent();

  /** Starts the thread that calls Step() about twice a second. */
  void Start();
  void Stop();

  /** One round of the loop; may block on the platform. Not to be called by two threads at once. */
  void Step();

  /** Takes evidence of an ingress, see UpstreamEvidence::Encode(). False if it is malformed. */
  bool OnEvidence(const Address& aFrom, std::string_view aPayload);

  /** Takes the result of a probe of one of the gate's upstreams. */
  void OnProbe(const Address& aUpstream, bool aGood);

  /** What operators see of the gate's upstreams. */
  nlohmann::json Status() const;

private:
  struct ServiceState
  {
    EjectionSet lastKnown;
    bool known = false;            //!< the platform's set has been read at least once
    std::vector<Address> released; //!< ended here before the platform could be told
    bool away = false;             //!< the last update failed
    TimePoint nextRead{};
  };

  using Statuses = std::vector<GateUpstreamStatus>;

  std::map<std::string, Statuses> ByService() const;
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
  void Apply(const Statuses& aOwn, const EjectionSet& aSet);
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
  std::map<std::string, ServiceState> mServices; //!< used by Step() only

  mutable std::mutex mMutex;
  EvidenceTable mEvidence;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace mustardwinch
