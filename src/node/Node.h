#pragma once

#include "config/ConfigSource.h"
#include "gate/EjectionController.h"
#include "gate/GateScheduler.h"
#include "gate/GateServer.h"
#include "health/EjectionUpdater.h"
#include "health/RetryPolicy.h"
#include "health/UpstreamPicker.h"
#include "ingress/CallerServer.h"
#include "ingress/Forwarder.h"
#include "limits/RateAgent.h"
#include "link/PeerLinks.h"
#include "membership/FleetAgent.h"
#include "membership/UpstreamDirectory.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/VmIdentity.h"
#include "node/ControlServer.h"
#include "node/StatusReporter.h"
#include "platform/PlatformApi.h"
#include "settings/NodeSettings.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace mustardwinch {

/** One node: ingress, gate and member of the fleet in one process. */
class Node
{
public:
  /** Starts all parts; null if an address cannot be had, which is logged. */
  static std::unique_ptr<Node> Make(const NodeSettings& aSettings);

  ~Node();

  /**
   * Planned stop: tells the fleet, lets running requests end within the grace period, cuts none
   * before that, and stops.
   */
  void Stop();

private:
  explicit Node(const NodeSettings& aSettings);
  bool Start();
  bool StartLinks();
  bool StartFleet();
  bool StartRates();
  void StartGate();
  bool StartServers();
  std::map<std::string, ControlServer::Handler> ControlHandlers();
  ControlAnswer Announce(const std::string& aBody);
  ControlAnswer Status() const;
  ControlAnswer Metrics() const;
  void TickLoop();
  void SendEvidence();
  std::size_t AwaitQuiet();
  void StopParts();

  const NodeSettings mSettings;
  const VmIdentity mIdentity;
  const std::string mProcessName; //!< unique for each start; names this process to the platform
  Clock mClock;
  ConfigSource mConfig;
  UpstreamDirectory mDirectory;
  UpstreamPicker mPicker;
  RetryPolicy mRetries;
  GateScheduler mScheduler;
  GateServer mGate;
  std::unique_ptr<PeerLinks> mLinks;
  std::shared_ptr<PlatformApi> mPlatform;
  std::unique_ptr<FleetAgent> mFleet;
  std::unique_ptr<StatusReporter> mReporter;
  std::unique_ptr<RateAgent> mRates;
  std::unique_ptr<EjectionUpdater> mEjectionUpdater;
  std::unique_ptr<EjectionController> mEjectionController;
  std::unique_ptr<Forwarder> mForwarder;
  std::unique_ptr<ControlServer> mControl;
  std::unique_ptr<CallerServer> mCallers;
  std::atomic<bool> mStopped{ false };
  std::thread mTicker;
};

} // namespace mustardwinch
