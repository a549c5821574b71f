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
#include "sidecar/KeyFreshness.h"
#include "sidecar/PlatformBinding.h"
#include "sidecar/RateTokenBroker.h"
#include "sidecar/RolloutAgent.h"
#include "sidecar/SidecarSettings.h"
#include "sidecar/StopSchedule.h"
#include "store/KindWatcher.h"
#include "store/ObjectStore.h"

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
 * A node of the fleet: ingress for the callers on its VM and gate of the upstream beside it. All
 * parts run on one event loop on one thread, so there are no locks.
 */
class SidecarNode
{
public:
  /** Reads the settings file again. Returns nothing if it is unchanged or, which is logged,
   * invalid. */
  using ReloadFn = std::function<std::optional<SidecarSettings>()>;

  SidecarNode(boost::asio::io_context& aLoop,
              SidecarSettings aSettings,
              PlatformBinding aBinding,
              ReloadFn aReload);

  /** Returns false, and logs why, if an address cannot be bound. */
  bool Start();

  /** Starts a planned stop: reports not ready at once, gives the gate no new requests, and exits
   * when nothing runs or the grace period ends. */
  void Stop();

private:
  MemberInfo Self() const;
  Gate::Delegate MakeGateDelegate();
  IngressServices MakeIngressServices();
  GateDirectory MakeGateDirectory();
  GateDirectory::CancelFn SubmitLocally(GateCall aCall, GateDirectory::ResultFn aDone);
  GateDirectory::CancelFn SubmitToPeer(const std::string& aVm,
                                       const GateCall& aCall,
                                       GateDirectory::ResultFn aDone);
  std::vector<const GateView*> GateViews();
  PeerLink::Surroundings MakeLinkCallbacks();
  FleetServer::Handlers MakeServerHandlers();
  GateStatusMessage Status() const;
  KindWatcher::Handlers ConfigHandlers();
  KindWatcher::Handlers EvacuationHandlers();
  KindWatcher::Handlers MemberHandlers();
  KindWatcher::Handlers RolloutHandlers();
  RolloutAgent::Delegate MakeRolloutDelegate();
  std::vector<RolloutAgent::Member> RolloutMembers() const;
  RolloutReport ReportForRollout() const;
  void OnRolloutChange();
  /** Fetches the orders of a peer that knows newer ones. */
  void PullRollouts(PeerLink& aLink, StorePosition aTheirs);
  bool ReachesStore() const;
  /** A reply of the store, or a peer, names the epoch of the store's history. */
  void OnStoreEpoch(std::uint64_t aEpoch);
  void OnStoredConfig(const StoredObject& aObject);
  void OnStoreReachable(StoredKind aKind, bool aReachable, const std::string& aDetail);
  /** Updates the rate token brokers with the VMs that are alive now. */
  void UpdateRateFleet();
  void OnPeerState(PeerLink& aLink,
                   std::uint64_t aConfig,
                   StorePosition aEvacuations,
                   std::uint64_t aStoreEpoch);
  void OnConfig();
  void OnEvacuations();

  // Confirmation of the configuration, if revocation is strict.
  CurrencyReplyMessage Currency() const;
  void ConfirmConfig();
  void AskPeersForCurrency();
  void LogKeyState();

  void HandleReadiness(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest);
  void HandleControl(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest);
  void HandleMetrics(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest);
  bool IsReady() const;
  void Tick();
  void CheckReadiness();
  void StartWatchers();
  void ConfigureWatchers();
  void AwaitHangup();
  void Reload();
  bool MayExit() const;

  /** Nothing is left to do. Removes the node's entry first if its VM leaves with the upstream. */
  bool IsReadyToExit();
  NodeRetryBudget& RetryAllowanceFor(const std::string& aService);

  boost::asio::io_context& mLoop;
  Clock mClock{ Clock::Source::kSinceBoot };
  const TimePoint mStartTime = mClock.Now();
  SidecarSettings mSettings;
  const PlatformBinding mBinding;
  const ObjectStore mStore; //!< the binding's, with all epochs observed
  const ReloadFn mReload;
  FleetState mState;
  KeyFreshness mKeys;
  const std::shared_ptr<MemoryBudget> mBodies; //!< requests of callers, bodies of other nodes
  RolloutAgent mRollouts;
  Gate mGate;
  LinkTable mLinks;
  FleetServer mServer;
  RateTokenBroker mRates;
  RateTokenBroker mRetryRates;
  Ingress mIngress;
  MemberRegistrar mRegistrar;
  KindWatcher mConfigWatcher;
  KindWatcher mEvacuationWatcher;
  KindWatcher mMemberWatcher;
  KindWatcher mRolloutWatcher;
  HttpListener mCallers;
  HttpListener mReadiness;
  HttpListener mControl;
  HttpListener mMetrics;
  boost::asio::signal_set mStopSignals;
  boost::asio::signal_set mHangup;
  boost::asio::steady_timer mTimer;
  PullDecision mConfigPull;
  PullDecision mEvacuationPull;
  PullDecision mRolloutPull;
  GateView mOwnView;
  std::map<std::string, NodeRetryBudget> mRetries;
  TimePoint mNextCurrencyAsk{};
  std::size_t mCurrencyAsks = 0; //!< requests since the last confirmation; rotates the peers asked
  bool mKeysAccepted = true;
  std::map<StoredKind, bool> mReachable;
  std::uint64_t mStoreEpoch = 0;           //!< newest history of the store that is known
  std::uint64_t mStoredConfigRevision = 0; //!< of the configuration as the store last told it
  bool mStoreHasCurrent = true;   //!< the store's configuration is no older than the one in effect
  TimePoint mMembersKnownSince{}; //!< when the members became known; the epoch if they are not
  std::optional<StopSchedule> mStop; //!< nothing: the node is not stopping
  std::uint64_t mTicks = 0;
  std::uint64_t mDroppedLines = 0;
  bool mWasReady = false;
  bool mLeaving = false; //!< the entry among the members is being removed
  bool mHasLeft = false; //!< it has been removed
};

} // namespace mustardwinch
