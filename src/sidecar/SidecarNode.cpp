#include "sidecar/SidecarNode.h"

#include "base/BoundedLog.h"
#include "mustardwinch/Event.h"
#include "sidecar/ResourceLimits.h"
#include "sidecar/SharedRetryBudget.h"
#include "store/EpochObserver.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace mustardwinch {
namespace {

constexpr Milliseconds kTickPeriod{ 100 };

/** Bodies that the platform's checks may carry; they need none. */
constexpr std::size_t kNoBodyBytes = 1'024;

/** An announcement takes some hundred bytes. */
constexpr std::size_t kAnnouncementBytes = 64U << 10;
constexpr std::uint64_t kTicksPerSecond = 10;

/** Time for the links to connect after the members are known. */
constexpr Milliseconds kLinkSetupTime{ 300 };

/** Minimum time between watches of the members, so that several changes are fetched at once. Nodes
 * that start introduce themselves to their peers, so the delay does no harm. Two nodes that listed
 * the members at the same moment do not know each other, so the gap is skipped after this node's
 * own entry is written. */
constexpr Milliseconds kMemberWatchGap{ 2'500 };

} // namespace

SidecarNode::SidecarNode(boost::asio::io_context& aLoop,
                         SidecarSettings aSettings,
                         PlatformBinding aBinding,
                         ReloadFn aReload)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mBinding(std::move(aBinding))
  , mStore(ObserveEpochs(mBinding.store, [this](std::uint64_t aEpoch) { OnStoreEpoch(aEpoch); }))
  , mReload(std::move(aReload))
  , mState(mClock, mBinding, { [this] { OnConfig(); }, [this] { OnEvacuations(); } })
  , mKeys(mSettings.revocation)
  , mBodies(MakeMemoryBudget(mSettings.resources))
  , mRollouts(mClock, mSettings.rollouts, mBinding, mStore, mSettings.vmName, MakeRolloutDelegate())
  , mGate(aLoop, mClock, mBinding.names, mSettings.cold, MakeGateDelegate(), mBodies)
  , mLinks(aLoop, mClock, Self(), MakeLinkCallbacks())
  , mServer(aLoop, MakeServerHandlers())
  , mRates(mClock, mSettings.vmName, mLinks, RateKind::kOrganisation, mSettings.rates)
  , mRetryRates(mClock,
                mSettings.vmName,
                mLinks,
                RateKind::kRetries,
                MakeRetryTolerance(mSettings.retries))
  , mIngress(MakeIngressServices())
  , mRegistrar(aLoop, mClock, mStore, Self(), mLinks, [this] { mMemberWatcher.SkipGap(); })
  , mConfigWatcher(aLoop, mClock, mStore, StoredKind::kConfig, ConfigHandlers())
  , mEvacuationWatcher(aLoop, mClock, mStore, StoredKind::kEvacuations, EvacuationHandlers())
  , mMemberWatcher(aLoop, mClock, mStore, StoredKind::kMembers, MemberHandlers(), kMemberWatchGap)
  , mRolloutWatcher(aLoop, mClock, mStore, StoredKind::kRollouts, RolloutHandlers())
  , mCallers(
      aLoop,
      mClock,
      [this](const std::shared_ptr<HttpSession>& aSession, HttpRequest aRequest) {
        mIngress.Handle(aSession, std::move(aRequest));
      },
      CallerLimits(mSettings.resources, mBodies),
      [this](const HttpRequest& aHead) { return mIngress.CheckHead(aHead); })
  , mReadiness(
      aLoop,
      mClock,
      [this](const auto& aSession, const HttpRequest& aRequest) {
        HandleReadiness(aSession, aRequest);
      },
      ServiceLimits(kNoBodyBytes))
  , mControl(
      aLoop,
      mClock,
      [this](const auto& aSession, const HttpRequest& aRequest) {
        HandleControl(aSession, aRequest);
      },
      ServiceLimits(kAnnouncementBytes))
  , mMetrics(
      aLoop,
      mClock,
      [this](const auto& aSession, const HttpRequest& aRequest) {
        HandleMetrics(aSession, aRequest);
      },
      ServiceLimits(kNoBodyBytes))
  , mStopSignals(aLoop, SIGTERM, SIGINT)
  , mHangup(aLoop, SIGHUP)
  , mTimer(aLoop)
{
  UpdateRateFleet();
}

MemberInfo SidecarNode::Self() const
{
  return {
    mSettings.vmName, mSettings.advertisedLink, mSettings.failureDomain, mSettings.service, {}
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
  StartWatchers();
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

// ---- readiness, control, metrics

bool SidecarNode::IsReady() const
{
  if (mStop || !mState.Routing()) {
    return false;
  }
  const std::size_t live = mLinks.LiveVms().size();
  const bool linked = 2 * live > mLinks.All().size();
  const bool waited =
    mMembersKnownSince != TimePoint{} && mClock.Now() - mMembersKnownSince > kLinkSetupTime;
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
    mGate.Leave(announcement.instance, announcement.processStartMs);
  } else {
    mGate.Announce(announcement);
  }
  aSession->Answer({ 200, { { "Content-Type", "application/json" } }, "{}" });
}

void SidecarNode::HandleMetrics(const std::shared_ptr<HttpSession>& aSession, const HttpRequest&)
{
  std::string text = mIngress.MetricsText() + mGate.MetricsText();
  text += mRollouts.MetricsText();
  text += "mw_gate_running " + std::to_string(mGate.Running()) + "\n";
  text += "mw_gate_queued " + std::to_string(mGate.Queued()) + "\n";
  text += "mw_gate_trust " + std::to_string(static_cast<int>(mGate.Trust())) + "\n";
  text += "mw_members " + std::to_string(mLinks.All().size() + 1) + "\n";
  text += "mw_members_live " + std::to_string(mLinks.LiveVms().size()) + "\n";
  text += "mw_config_version " + std::to_string(mState.ConfigVersion()) + "\n";
  text += "mw_store_epoch " + std::to_string(mStoreEpoch) + "\n";
  text += "mw_log_lines_dropped_total " + std::to_string(DroppedLogLines()) + "\n";
  text += "mw_caller_connections " + std::to_string(mCallers.Count()) + "\n";
  text += mCallers.MetricsText("callers") + mReadiness.MetricsText("readiness") +
          mControl.MetricsText("control") + mMetrics.MetricsText("metrics");
  aSession->Answer({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, text });
}

// ---- time and signals

void SidecarNode::Tick()
{
  ++mTicks;
  mLinks.Tick();
  UpdateRateFleet();
  mRates.Tick();
  mRetryRates.Tick();
  mGate.Tick();
  mRollouts.Tick();
  mState.Tick();
  ConfirmConfig();
  CheckReadiness();
  if (mTicks % kTicksPerSecond == 0) {
    mRegistrar.Tick();
    ConfigureWatchers();
    Reload();
  }
  if (DroppedLogLines() != mDroppedLines && mTicks % kTicksPerSecond == 0) {
    LogEvent(LogLevel::kError,
             Event::kLogDropped,
             { { "lines", std::to_string(DroppedLogLines() - mDroppedLines) } });
    mDroppedLines = DroppedLogLines();
  }
  if (mStop && mClock.Now() >= mStop->FinalAnswers()) {
    mIngress.AnswerOpenRequests();
  }
  if (mStop && IsReadyToExit()) {
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

void SidecarNode::AwaitHangup()
{
  mHangup.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      Reload();
      AwaitHangup();
    }
  });
}

/** Applies the service, the stop grace period, and the retry and revocation settings; all other
 * settings need a restart. */
void SidecarNode::Reload()
{
  const std::optional<SidecarSettings> fresh = mReload();
  if (!fresh || *fresh == mSettings) {
    return;
  }
  mSettings.service = fresh->service;
  mSettings.stopGrace = fresh->stopGrace;
  mSettings.retries = fresh->retries;
  mSettings.revocation = fresh->revocation;
  mKeys.Configure(mSettings.revocation);
  mRetries.clear();
  LogEvent(LogLevel::kInfo,
           Event::kSettingsReloaded,
           { { "service", mSettings.service },
             { "stop_grace_s", std::to_string(mSettings.stopGrace.count()) } });
}

void SidecarNode::Stop()
{
  if (mStop) {
    return;
  }
  Reload(); // the grace period that holds now
  mStop.emplace(mClock.Now(), mSettings.stopGrace);
  mIngress.Stop(*mStop);
  LogEvent(LogLevel::kInfo,
           Event::kProcessStopping,
           { { "vm", mSettings.vmName },
             { "open", std::to_string(mIngress.Open()) },
             { "running", std::to_string(mGate.Running()) } });
  CheckReadiness();
  mGate.StopAccepting();
  mCallers.AnnounceStop();
}

/**
 * Load pattern: a roll-out or a replacement ends more VMs than stay. Their entries would count as
 * nodes that are not heard, and without a majority nobody grants rates.
 */
bool SidecarNode::IsReadyToExit()
{
  const bool isLate = mClock.Now() >= mStop->LatestExit();
  if (isLate || !MayExit() || !mGate.HasLostUpstream()) {
    return MayExit();
  }
  if (!mLeaving) {
    mLeaving = true;
    mRegistrar.Leave([this] { mHasLeft = true; });
  }
  return mHasLeft;
}

bool SidecarNode::MayExit() const
{
  const TimePoint now = mClock.Now();
  if (now >= mStop->LatestExit()) {
    return true;
  }
  const bool idle = mIngress.Open() == 0 && mGate.Running() == 0;
  const bool sent = mCallers.Sending() == 0 && mServer.Sending() == 0;
  const bool received = mCallers.Receiving() == 0; // the rest is refused, not cut off
  return now >= mStop->EarliestExit() && idle && sent && received;
}

} // namespace mustardwinch
