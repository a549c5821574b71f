#pragma once

#include "fleet/FleetServer.h"
#include "fleet/LinkTable.h"
#include "fleet/MemberRegistrar.h"
#include "fleet/PullDecision.h"
#include "http/HttpListener.h"
#include "mustardwinch/Clock.h"
#include "placement/NodeRetryBudget.h"
#include "sidecar/FleetState.h"
#include "sidecar/Gate.h"
#include "sidecar/Ingress.h"
#include "sidecar/PlatformBinding.h"
#include "sidecar/RateDesk.h"
#include "sidecar/SidecarSettings.h"
#include "store/KindWatcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mustardwinch {

/**
 * A node as one event loop on one thread: ingress for the callers on its VM, gate of the upstream
 * beside it, and member of the fleet. No locks: all parts run on the loop.
 */
class SidecarNode
{
public:
  /** Reads the settings file again; nothing if it is invalid, which is logged. */
  using ReloadFn = std::function<std::optional<SidecarSettings>()>;

  SidecarNode(boost::asio::io_context& aLoop,
              SidecarSettings aSettings,
              PlatformBinding aBinding,
              ReloadFn aReload);

  /** False if an address cannot be had; the reason is logged. */
  bool Start();

  /** Planned stop: not ready at once, no new work for the gate, ends when nothing runs. */
  void Stop();

private:
  MemberInfo Self() const;
  Gate::Surroundings GateSurroundings();
  IngressServices Services();
  GateDirectory Gates();
  GateDirectory::CancelFn SubmitHere(GateCall aCall, GateDirectory::ResultFn aDone);
  GateDirectory::CancelFn SubmitTo(const std::string& aVm,
                                   const GateCall& aCall,
                                   GateDirectory::ResultFn aDone);
  std::vector<const GateView*> Views();
  PeerLink::Surroundings LinkSurroundings();
  FleetServer::Handlers ServerHandlers();
  GateStatusMessage Status() const;
  KindWatcher::Handlers ConfigHandlers();
  KindWatcher::Handlers EvacuationHandlers();
  KindWatcher::Handlers MemberHandlers();
  void OnStoreReachable(StoredKind aKind, bool aReachable, const std::string& aDetail);
  /** Tells those that count rates which VMs are alive now. */
  void UpdateRateFleet();
  void OnPeerState(PeerLink& aLink, std::uint64_t aConfig, std::uint64_t aEvacuations);
  void OnConfig();
  void OnEvacuations();

  void HandleReadiness(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest);
  void HandleControl(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest);
  void HandleMetrics(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest);
  bool IsReady() const;
  void Tick();
  void CheckReadiness();
  void ChooseWatchers();
  void AwaitHangup();
  void Reload();
  bool MayExit() const;
  NodeRetryBudget& Retries(const std::string& aService);

  boost::asio::io_context& mLoop;
  Clock mClock{ Clock::Source::kSinceBoot };
  const TimePoint mBegan = mClock.Now();
  SidecarSettings mSettings;
  const PlatformBinding mBinding;
  const ReloadFn mReload;
  FleetState mState;
  Gate mGate;
  LinkTable mLinks;
  FleetServer mServer;
  RateDesk mRates;
  RateDesk mRetryRates;
  Ingress mIngress;
  MemberRegistrar mRegistrar;
  KindWatcher mConfigWatcher;
  KindWatcher mEvacuationWatcher;
  KindWatcher mMemberWatcher;
  HttpListener mCallers;
  HttpListener mReadiness;
  HttpListener mControl;
  HttpListener mMetrics;
  boost::asio::signal_set mStopSignals;
  boost::asio::signal_set mHangup;
  boost::asio::steady_timer mTimer;
  PullDecision mConfigPull;
  PullDecision mEvacuationPull;
  GateView mOwnView;
  std::map<std::string, NodeRetryBudget> mRetries;
  std::map<StoredKind, bool> mReachable;
  TimePoint mMembersKnown{}; //!< when the members became known; the epoch before
  TimePoint mStopBegin{};
  std::uint64_t mTicks = 0;
  std::uint64_t mDroppedLines = 0;
  bool mWasReady = false;
  bool mStopping = false;
};

} // namespace mustardwinch
