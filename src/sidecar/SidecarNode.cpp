#include "sidecar/SidecarNode.h"

#include "base/BoundedLog.h"
#include "mustardwinch/Event.h"
#include "sidecar/CallCodec.h"
#include "sidecar/RetryPool.h"

#include <algorithm>
#include <csignal>
#include <limits>
#include <utility>

namespace mustardwinch {
namespace {

constexpr Milliseconds kTickPeriod{ 100 };
constexpr std::uint64_t kTicksPerSecond = 10;

/** Time for the links to come up after the members are known. */
constexpr Milliseconds kLinkTime{ 300 };

/** The platform asks for readiness each second and needs two misses: callers come until then. */
constexpr Milliseconds kStopQuiet{ 3'200 };

/** Before the end of the grace period, so that the exit is orderly. */
constexpr Milliseconds kStopMargin{ 250 };

/** Before the exit, so that the last answers reach callers on slow links. */
constexpr Milliseconds kLastAnswerTime{ 400 };

/** Nodes that start introduce themselves to their peers, so the store's news may be gathered. Two
 *  that listed the members at the same moment do not know each other: hence no gap after the own
 *  entry is written. */
constexpr Milliseconds kMemberWatchGap{ 2'500 };

// One node of each failure domain asks the store often and tells the others, so that a large
// configuration is fetched within the domain.
constexpr std::size_t kWatchersPerDomain = 1;
constexpr Milliseconds kShortWait{ 1'300 };
constexpr Milliseconds kLongWait{ 30'000 };

/** A full gate is asked again after half of the expected wait, at least. */
constexpr Milliseconds kLeastFullTime{ 50 };

} // namespace

SidecarNode::SidecarNode(boost::asio::io_context& aLoop,
                         SidecarSettings aSettings,
                         PlatformBinding aBinding,
                         ReloadFn aReload)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mBinding(std::move(aBinding))
  , mReload(std::move(aReload))
  , mState(mBinding, { [this] { OnConfig(); }, [this] { OnEvacuations(); } })
  , mGate(aLoop, mClock, mBinding.names, mSettings.cold, GateSurroundings())
  , mLinks(aLoop, mClock, Self(), LinkSurroundings())
  , mServer(aLoop, ServerHandlers())
  , mRates(mClock, mSettings.vmName, mLinks, RateKind::kOrganisation, mSettings.rates)
  , mRetryRates(mClock, mSettings.vmName, mLinks, RateKind::kRetries, {})
  , mIngress(Services())
  , mRegistrar(aLoop, mClock, mBinding.store, Self(), mLinks, [this] { mMemberWatcher.SkipGap(); })
  , mConfigWatcher(aLoop, mBinding.store, StoredKind::kConfig, ConfigHandlers())
  , mEvacuationWatcher(aLoop, mBinding.store, StoredKind::kEvacuations, EvacuationHandlers())
  , mMemberWatcher(aLoop, mBinding.store, StoredKind::kMembers, MemberHandlers(), kMemberWatchGap)
  , mCallers(aLoop,
             mClock,
             [this](const std::shared_ptr<HttpSession>& aSession, HttpRequest aRequest) {
               mIngress.Handle(aSession, std::move(aRequest));
             })
  , mReadiness(aLoop,
               mClock,
               [this](const auto& aSession, const HttpRequest& aRequest) {
                 HandleReadiness(aSession, aRequest);
               })
  , mControl(aLoop,
             mClock,
             [this](const auto& aSession, const HttpRequest& aRequest) {
               HandleControl(aSession, aRequest);
             })
  , mMetrics(aLoop,
             mClock,
             [this](const auto& aSession, const HttpRequest& aRequest) {
               HandleMetrics(aSession, aRequest);
             })
  , mStopSignals(aLoop, SIGTERM, SIGINT)
  , mHangup(aLoop, SIGHUP)
  , mTimer(aLoop)
{
}

MemberInfo SidecarNode::Self() const
{
  return {
    mSettings.vmName, mSettings.advertisedLink, mSettings.failureDomain, mSettings.service, 0
  };
}

bool SidecarNode::Start()
{
  const bool listening = mServer.Listen(mSettings.link) && mCallers.Listen(mSettings.callers) &&
                         mReadiness.Listen(mSettings.readiness) &&
                         mControl.Listen(mSettings.control) && mMetrics.Listen(mSettings.metrics);
  if (!listening) {
    return false;
  }
  mConfigWatcher.Start();
  mEvacuationWatcher.Start();
  mMemberWatcher.Start();
  mStopSignals.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      Stop();
    }
  });
  AwaitHangup();
  LogEvent(LogLevel::kInfo,
           Event::kProcessStarted,
           { { "vm", mSettings.vmName },
             { "domain", mSettings.failureDomain },
             { "service", mSettings.service },
             { "callers", mSettings.callers.ToString() } });
  Tick();
  return true;
}

// ---- gate and ingress

Gate::Surroundings SidecarNode::GateSurroundings()
{
  Gate::Surroundings surroundings;
  surroundings.coldStartsPerSecond = [this](const std::string& aService) {
    const auto routing = mState.Routing();
    const TrafficService* service = routing ? routing->FindService(aService) : nullptr;
    return service != nullptr ? service->coldStartsPerSecond : 0.0;
  };
  surroundings.isEvacuated = [this](const std::string& aDomain) {
    return mState.IsEvacuated(aDomain);
  };
  surroundings.onStatusChange = [this](bool aForAll) {
    mServer.Broadcast(aForAll ? std::string() : mSettings.failureDomain);
  };
  return surroundings;
}

IngressServices SidecarNode::Services()
{
  return IngressServices{
    mLoop,
    mClock,
    mBinding.names,
    mSettings.vmName,
    mSettings.failureDomain,
    [this] { return mSettings.service; },
    [this] { return mState.Routing(); },
    Gates(),
    [this](const Organisation& aOrganisation, RateDesk::VerdictFn aDone) {
      mRates.Ask(aOrganisation, std::move(aDone));
    },
    [this](const std::string& aOrganisation) { mRates.NoteRepeat(aOrganisation); },
    [this](const std::string& aService) -> RetryAllowance& { return Retries(aService); },
    [this](const std::string& aService, const std::function<void(bool)>& aDone) {
      mRetryRates.Ask(RetryPoolOf(aService, mSettings.retries),
                      [aDone](const RateVerdict& aVerdict) {
                        aDone(aVerdict.kind == RateVerdict::Kind::kGranted);
                      });
    },
    [this] { return mGate.RepeatShare(); }
  };
}

RetryAllowance& SidecarNode::Retries(const std::string& aService)
{
  const auto it = mRetries.find(aService);
  if (it != mRetries.end()) {
    return it->second;
  }
  const RetrySettings& budget = mSettings.retries;
  const auto fresh = RetryAllowance::ForNode(budget.ratio, budget.slack, mLinks.All().size() + 1);
  return mRetries.emplace(aService, fresh).first->second;
}

GateDirectory SidecarNode::Gates()
{
  GateDirectory gates;
  gates.views = [this] { return Views(); };
  gates.submit = [this](const std::string& aVm, GateCall aCall, GateDirectory::ResultFn aDone) {
    return aVm == mSettings.vmName ? SubmitHere(std::move(aCall), std::move(aDone))
                                   : SubmitTo(aVm, aCall, std::move(aDone));
  };
  gates.noteChosen = [this](const std::string& aVm) {
    PeerLink* link = mLinks.Find(aVm);
    GateView& view = link != nullptr ? link->View() : mOwnView;
    view.lastChosen = mClock.Now();
  };
  gates.noteFull = [this](const std::string& aVm, Milliseconds aWait) {
    PeerLink* link = mLinks.Find(aVm);
    GateView& view = link != nullptr ? link->View() : mOwnView;
    view.fullUntil = mClock.Now() + std::max(aWait / 2, kLeastFullTime);
  };
  return gates;
}

std::vector<const GateView*> SidecarNode::Views()
{
  mOwnView.vm = mSettings.vmName;
  mOwnView.failureDomain = mSettings.failureDomain;
  mOwnView.self = true;
  mOwnView.service = mGate.State().IsKnown() ? mGate.State().Current().service : std::string();
  mOwnView.available = mGate.IsAvailable();
  mOwnView.trust = mGate.Trust();
  mOwnView.running = mGate.Running();
  mOwnView.queued = mGate.Queued();
  mOwnView.slots = mGate.State().IsKnown() ? mGate.State().Current().slots : 1;
  mOwnView.gray = mGate.Health().GrayAt(mClock.Now());
  mOwnView.latencyRatio = mGate.Health().LatencyRatioAt(mClock.Now());
  std::vector<const GateView*> views{ &mOwnView };
  for (const auto& [vm, link] : mLinks.All()) {
    views.push_back(&link->View());
  }
  return views;
}

GateDirectory::CancelFn SidecarNode::SubmitHere(GateCall aCall, GateDirectory::ResultFn aDone)
{
  const Gate::Ticket ticket = mGate.Submit(std::move(aCall), std::move(aDone));
  return [this, ticket] { mGate.Cancel(ticket); };
}

GateDirectory::CancelFn SidecarNode::SubmitTo(const std::string& aVm,
                                              const GateCall& aCall,
                                              GateDirectory::ResultFn aDone)
{
  PeerLink* link = mLinks.Find(aVm);
  std::uint64_t id = 0;
  const auto onResult = [done = std::move(aDone)](std::optional<CallResultMessage> aResult) {
    if (aResult) {
      done(FromMessage(std::move(*aResult)));
      return;
    }
    GateCallResult lost;
    lost.outcome = CallOutcome::kFailed;
    lost.reason = ResultCode::kLinkDown;
    lost.reached = true; // it may have been
    done(std::move(lost));
  };
  if (link == nullptr || !link->Call(ToMessage(aCall), onResult, id)) {
    return nullptr;
  }
  return [weak = link->weak_from_this(), id] {
    if (const auto alive = weak.lock()) {
      alive->Cancel(id);
    }
  };
}

// ---- links

PeerLink::Surroundings SidecarNode::LinkSurroundings()
{
  PeerLink::Surroundings surroundings;
  surroundings.hello = [this](const std::string& aVm) {
    const PeerLink* link = mLinks.Find(aVm);
    return HelloMessage{ mSettings.vmName,
                         mSettings.advertisedLink.ToString(),
                         mSettings.failureDomain,
                         mSettings.service,
                         link != nullptr ? link->LeavingInstance() : std::string() };
  };
  surroundings.heartbeat = [this] {
    return HeartbeatMessage{ mState.ConfigVersion(),
                             mState.EvacuationsRevision(),
                             mLinks.UnheardTags() };
  };
  surroundings.onStatus = [this](PeerLink& aLink, const GateStatusMessage& aStatus) {
    OnPeerState(aLink, aStatus.configVersion, aStatus.evacuationsRevision);
  };
  surroundings.onState = [this](const StatePushMessage& aPush) { mState.OnPush(aPush); };
  return surroundings;
}

FleetServer::Handlers SidecarNode::ServerHandlers()
{
  FleetServer::Handlers handlers;
  handlers.submit =
    [this](CallMessage aCall, FleetServer::ResultFn aDone, std::function<void()> aWantBody) {
      return mGate.Submit(
        FromMessage(std::move(aCall)),
        [done = std::move(aDone)](GateCallResult aResult) { done(ToMessage(std::move(aResult))); },
        std::move(aWantBody));
    };
  handlers.giveBody = [this](Gate::Ticket aTicket, std::string aBody) {
    mGate.GiveBody(aTicket, std::move(aBody));
  };
  handlers.cancel = [this](Gate::Ticket aTicket) { mGate.Cancel(aTicket); };
  handlers.onHello = [this](const HelloMessage& aHello) {
    if (!aHello.seenInstance.empty()) {
      mGate.RememberLeaving(aHello.seenInstance);
    }
    const auto address = Address::Parse(aHello.address);
    if (!address) {
      return;
    }
    if (PeerLink* link = mLinks.Find(aHello.vm)) {
      link->OnPeerCame(*address);
    } else {
      mLinks.Put({ aHello.vm, *address, aHello.failureDomain, aHello.service, 0 });
    }
  };
  handlers.onHeartbeat = [this](const std::string& aVm, const HeartbeatMessage& aHeartbeat) {
    mLinks.NoteUnheard(aVm, aHeartbeat.unheard);
    if (PeerLink* link = mLinks.Find(aVm)) {
      OnPeerState(*link, aHeartbeat.configVersion, aHeartbeat.evacuationsRevision);
    }
  };
  handlers.takeRate = [this](const RateAskMessage& aAsk, const RateDesk::VerdictFn& aDone) {
    if (static_cast<RateKind>(aAsk.kind) == RateKind::kRetries) {
      mRetryRates.Serve(RetryPoolOf(aAsk.name, mSettings.retries), aAsk, aDone);
      return;
    }
    const auto routing = mState.Routing();
    const TrafficOrganisation* found = routing ? routing->FindOrganisation(aAsk.name) : nullptr;
    if (found == nullptr) {
      aDone({});
      return;
    }
    mRates.Serve(found->organisation, aAsk, aDone);
  };
  handlers.state = [this](SharedState aState) { return mState.Push(aState); };
  handlers.status = [this] { return Status(); };
  return handlers;
}

GateStatusMessage SidecarNode::Status() const
{
  GateStatusMessage status;
  status.available = mGate.IsAvailable();
  status.trust = static_cast<std::uint8_t>(mGate.Trust());
  status.running = mGate.Running();
  status.queued = mGate.Queued();
  status.slots = mGate.State().IsKnown() ? mGate.State().Current().slots : 0;
  status.latencyPercent =
    static_cast<std::uint32_t>(100 * mGate.Health().LatencyRatioAt(mClock.Now()));
  status.grayPercent = static_cast<std::uint32_t>(100 * mGate.Health().GrayAt(mClock.Now()));
  status.configVersion = mState.ConfigVersion();
  status.evacuationsRevision = mState.EvacuationsRevision();
  status.leaving = mGate.State().LeavingInstance();
  status.vm = mSettings.vmName;
  status.service = mGate.State().IsKnown() ? mGate.State().Current().service : std::string();
  const auto age = std::chrono::duration_cast<Milliseconds>(mClock.Now() - mBegan);
  status.ageMs = static_cast<std::uint32_t>(
    std::min<std::int64_t>(age.count(), std::numeric_limits<std::uint32_t>::max()));
  return status;
}

/** A peer that is ahead hands its state over. */
void SidecarNode::OnPeerState(PeerLink& aLink, std::uint64_t aConfig, std::uint64_t aEvacuations)
{
  const TimePoint now = mClock.Now();
  const bool near = aLink.Member().failureDomain == mSettings.failureDomain;
  if (mConfigPull.ShouldPull(now, mState.ConfigVersion(), aConfig, near)) {
    aLink.Pull(SharedState::kConfig);
  }
  if (mEvacuationPull.ShouldPull(now, mState.EvacuationsRevision(), aEvacuations, near)) {
    aLink.Pull(SharedState::kEvacuations);
  }
}

// ---- store

KindWatcher::Handlers SidecarNode::ConfigHandlers()
{
  const auto offer = [this](const StoredObject& aObject) {
    if (!aObject.removed && aObject.name == mBinding.configName) {
      mState.OfferConfig(aObject.spec, "store");
    }
  };
  return { [offer](const std::vector<StoredObject>& aObjects, std::uint64_t) {
            std::for_each(aObjects.begin(), aObjects.end(), offer);
          },
           [offer](const StoredObject& aObject, std::uint64_t) { offer(aObject); },
           [this](bool aReachable, const std::string& aDetail) {
             OnStoreReachable(StoredKind::kConfig, aReachable, aDetail);
           } };
}

KindWatcher::Handlers SidecarNode::EvacuationHandlers()
{
  return { [this](const std::vector<StoredObject>& aObjects, std::uint64_t aRevision) {
            std::set<std::string> domains;
            for (const StoredObject& it : aObjects) {
              if (!it.removed) {
                domains.insert(it.name);
              }
            }
            mState.SetEvacuations(std::move(domains), aRevision, "store");
          },
           [this](const StoredObject& aObject, std::uint64_t aRevision) {
             mState.SetEvacuation(aObject.name, !aObject.removed, aRevision);
           },
           [this](bool aReachable, const std::string& aDetail) {
             OnStoreReachable(StoredKind::kEvacuations, aReachable, aDetail);
           } };
}

KindWatcher::Handlers SidecarNode::MemberHandlers()
{
  return { [this](const std::vector<StoredObject>& aObjects, std::uint64_t) {
            mRegistrar.OnList(aObjects);
            if (mMembersKnown == TimePoint{}) {
              mMembersKnown = mClock.Now();
            }
          },
           [this](const StoredObject& aObject, std::uint64_t) { mRegistrar.OnChange(aObject); },
           [this](bool aReachable, const std::string& aDetail) {
             OnStoreReachable(StoredKind::kMembers, aReachable, aDetail);
           } };
}

void SidecarNode::OnStoreReachable(StoredKind aKind, bool aReachable, const std::string& aDetail)
{
  constexpr const char* kNames[] = { "config", "evacuations", "members" };
  mReachable[aKind] = aReachable;
  LogEvent(aReachable ? LogLevel::kInfo : LogLevel::kWarn,
           aReachable ? Event::kPlatformBack : Event::kPlatformLost,
           { { "for", kNames[static_cast<std::size_t>(aKind)] }, { "detail", aDetail } });
  if (aReachable) { // the store answers again: the other watches need not wait
    mConfigWatcher.Wake();
    mEvacuationWatcher.Wake();
    mMemberWatcher.Wake();
  }
}

void SidecarNode::OnConfig()
{
  mCallers.SetLimits(mState.Routing()->Config().limits);
  mLinks.Announce();
}

void SidecarNode::OnEvacuations()
{
  mGate.OnEvacuation();
  mLinks.Announce();
}

// ---- readiness, control, metrics

bool SidecarNode::IsReady() const
{
  if (mStopping || !mState.Routing()) {
    return false;
  }
  const std::size_t live = mLinks.LiveVms().size();
  const bool linked = 2 * live > mLinks.All().size();
  const bool waited = mMembersKnown != TimePoint{} && mClock.Now() - mMembersKnown > kLinkTime;
  return waited || (linked && live > 1);
}

void SidecarNode::CheckReadiness()
{
  const bool ready = IsReady();
  if (ready != mWasReady) {
    mWasReady = ready;
    LogEvent(LogLevel::kInfo,
             Event::kReadinessChanged,
             { { "ready", ready ? "yes" : "no" },
               { "config", std::to_string(mState.ConfigVersion()) },
               { "live", std::to_string(mLinks.LiveVms().size()) } });
  }
}

void SidecarNode::HandleReadiness(const std::shared_ptr<HttpSession>& aSession,
                                  const HttpRequest& aRequest)
{
  if (aRequest.target != mBinding.names.readyPath) {
    aSession->Answer(MakeTextAnswer(404, "not found"));
    return;
  }
  CheckReadiness();
  aSession->Answer(IsReady() ? MakeTextAnswer(200, "ready") : MakeTextAnswer(503, "not ready"));
}

void SidecarNode::HandleControl(const std::shared_ptr<HttpSession>& aSession,
                                const HttpRequest& aRequest)
{
  const std::string& prefix = mBinding.names.announcePrefix;
  if (aRequest.method != "POST" || !aRequest.target.starts_with(prefix)) {
    aSession->Answer(MakeTextAnswer(404, "not found"));
    return;
  }
  const auto notice = mBinding.decodeNotice(aRequest.target.substr(prefix.size()), aRequest.body);
  if (!notice) {
    LogEvent(LogLevel::kWarn,
             Event::kAnnouncementRejected,
             { { "path", aRequest.target }, { "detail", notice.Error().detail } });
    aSession->Answer(MakeTextAnswer(400, "the announcement is malformed"));
    return;
  }
  const UpstreamAnnouncement& announcement = notice.Value().announcement;
  if (notice.Value().leaves) {
    mGate.Leave(announcement.instance, announcement.born);
  } else {
    mGate.Announce(announcement);
  }
  aSession->Answer({ 200, { { "Content-Type", "application/json" } }, "{}" });
}

void SidecarNode::HandleMetrics(const std::shared_ptr<HttpSession>& aSession, const HttpRequest&)
{
  std::string text = mIngress.MetricsText() + mGate.MetricsText();
  text += "mw_gate_running " + std::to_string(mGate.Running()) + "\n";
  text += "mw_gate_queued " + std::to_string(mGate.Queued()) + "\n";
  text += "mw_gate_trust " + std::to_string(static_cast<int>(mGate.Trust())) + "\n";
  text += "mw_members " + std::to_string(mLinks.All().size() + 1) + "\n";
  text += "mw_members_live " + std::to_string(mLinks.LiveVms().size()) + "\n";
  text += "mw_config_version " + std::to_string(mState.ConfigVersion()) + "\n";
  text += "mw_log_lines_dropped_total " + std::to_string(DroppedLogLines()) + "\n";
  text += "mw_caller_connections " + std::to_string(mCallers.Count()) + "\n";
  aSession->Answer({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, text });
}

// ---- time and signals

void SidecarNode::Tick()
{
  ++mTicks;
  mLinks.Tick();
  mRates.Tick();
  mRetryRates.Tick();
  mGate.Tick();
  CheckReadiness();
  if (mTicks % kTicksPerSecond == 0) {
    mRegistrar.Tick();
    ChooseWatchers();
    Reload();
  }
  if (DroppedLogLines() != mDroppedLines && mTicks % kTicksPerSecond == 0) {
    LogEvent(LogLevel::kError,
             Event::kLogDropped,
             { { "lines", std::to_string(DroppedLogLines() - mDroppedLines) } });
    mDroppedLines = DroppedLogLines();
  }
  if (mStopping && mClock.Now() - mStopBegin >= mSettings.stopGrace / 2) {
    // Callers come on as long as most nodes of the domain are not ready. What comes this late could
    // be cut by the end of the grace period.
    mIngress.StopTaking();
  }
  if (mStopping &&
      mClock.Now() - mStopBegin >= mSettings.stopGrace - kStopMargin - kLastAnswerTime) {
    mIngress.AnswerAll();
  }
  if (mStopping && MayExit()) {
    LogEvent(LogLevel::kInfo,
             Event::kProcessStopped,
             { { "vm", mSettings.vmName },
               { "unfinished", std::to_string(mIngress.Open() + mGate.Running()) } });
    FlushLog();
    mLoop.stop();
    return;
  }
  FlushLog();
  mTimer.expires_after(kTickPeriod);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void SidecarNode::ChooseWatchers()
{
  std::vector<std::string> near{ mSettings.vmName };
  for (const auto& [vm, link] : mLinks.All()) {
    if (link->IsLive() && link->Member().failureDomain == mSettings.failureDomain) {
      near.push_back(vm);
    }
  }
  const bool watcher = RankFor("watch", near, mSettings.vmName) < kWatchersPerDomain;
  const Milliseconds wait = watcher ? kShortWait : kLongWait;
  const Freshness freshness = watcher ? Freshness::kNewest : Freshness::kMayLag;
  mConfigWatcher.SetWait(wait, freshness);
  mEvacuationWatcher.SetWait(wait, freshness);
}

void SidecarNode::AwaitHangup()
{
  mHangup.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      Reload();
      AwaitHangup();
    }
  });
}

/** The addresses stay as they were at the start; all else is taken over. */
void SidecarNode::Reload()
{
  const std::optional<SidecarSettings> fresh = mReload();
  if (!fresh || *fresh == mSettings) {
    return;
  }
  mSettings.service = fresh->service;
  mSettings.stopGrace = fresh->stopGrace;
  mSettings.retries = fresh->retries;
  mRetries.clear();
  LogEvent(LogLevel::kInfo,
           Event::kSettingsReloaded,
           { { "service", mSettings.service },
             { "stop_grace_s", std::to_string(mSettings.stopGrace.count()) } });
}

void SidecarNode::Stop()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  mStopBegin = mClock.Now();
  LogEvent(LogLevel::kInfo,
           Event::kProcessStopping,
           { { "vm", mSettings.vmName },
             { "open", std::to_string(mIngress.Open()) },
             { "running", std::to_string(mGate.Running()) } });
  CheckReadiness();
  mGate.StopAccepting();
  mCallers.AnnounceStop();
}

bool SidecarNode::MayExit() const
{
  const Duration elapsed = mClock.Now() - mStopBegin;
  if (elapsed >= mSettings.stopGrace - kStopMargin) {
    return true;
  }
  return elapsed >= kStopQuiet && mIngress.Open() == 0 && mGate.Running() == 0;
}

} // namespace mustardwinch
