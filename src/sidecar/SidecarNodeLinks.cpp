#include "sidecar/SidecarNode.h"

#include "mustardwinch/Event.h"
#include "sidecar/CallCodec.h"
#include "sidecar/SharedRetryBudget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mustardwinch {
namespace {

/** VMs that lost power together restart within two seconds of each other. A fleet that started
 * longer ago than this window has rate owners, and a new owner must wait for them. */
constexpr Milliseconds kFleetRestartWindow{ 4'000 };

} // namespace

PeerLink::Surroundings SidecarNode::MakeLinkCallbacks()
{
  PeerLink::Surroundings callbacks;
  callbacks.hello = [this](const std::string& aVm) {
    const PeerLink* link = mLinks.Find(aVm);
    return HelloMessage{ mSettings.vmName,
                         mSettings.advertisedLink.ToString(),
                         mSettings.failureDomain,
                         mSettings.service,
                         link != nullptr ? link->LeavingInstance() : std::string() };
  };
  callbacks.heartbeat = [this] {
    return HeartbeatMessage{ mState.ConfigVersion(),
                             mState.EvacuationsAt().revision,
                             mLinks.UnheardTags(),
                             mState.EvacuationsAt().epoch,
                             mStoreEpoch,
                             mRollouts.At().revision,
                             mRollouts.At().epoch };
  };
  callbacks.onStatus = [this](PeerLink& aLink, const GateStatusMessage& aStatus) {
    OnPeerState(aLink,
                aStatus.configVersion,
                { aStatus.evacuationsEpoch, aStatus.evacuationsRevision },
                aStatus.storeEpoch);
    PullRollouts(aLink, { aStatus.rolloutsEpoch, aStatus.rolloutsRevision });
  };
  callbacks.onCurrency = [this](std::uint64_t aVersion, TimePoint aAsOf) {
    if (mState.ConfigVersion() >= aVersion) {
      mKeys.Confirm(aAsOf);
    }
  };
  callbacks.onState = [this](const StatePushMessage& aPush) {
    if (static_cast<SharedState>(aPush.state) == SharedState::kRollouts) {
      mRollouts.ApplyPush(aPush);
    } else {
      mState.ApplyPush(aPush);
    }
  };
  return callbacks;
}

FleetServer::Handlers SidecarNode::MakeServerHandlers()
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
    mGate.ProvideBody(aTicket, std::move(aBody));
  };
  handlers.onBodyPart = [this](Gate::Ticket aTicket) { mGate.OnBodyPart(aTicket); };
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
      mLinks.Put({ aHello.vm, *address, aHello.failureDomain, aHello.service, {} });
    }
  };
  handlers.onHeartbeat = [this](const std::string& aVm, const HeartbeatMessage& aHeartbeat) {
    mLinks.NoteUnheard(aVm, aHeartbeat.unheard);
    if (PeerLink* link = mLinks.Find(aVm)) {
      OnPeerState(*link,
                  aHeartbeat.configVersion,
                  { aHeartbeat.evacuationsEpoch, aHeartbeat.evacuationsRevision },
                  aHeartbeat.storeEpoch);
      PullRollouts(*link, { aHeartbeat.rolloutsEpoch, aHeartbeat.rolloutsRevision });
    }
  };
  handlers.takeRate = [this](const RateAskMessage& aAsk, const RateTokenBroker::VerdictFn& aDone) {
    if (static_cast<RateKind>(aAsk.kind) == RateKind::kRetries) {
      mRetryRates.Serve(MakeSharedRetryBudget(aAsk.name, mSettings.retries), aAsk, aDone);
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
  handlers.state = [this](SharedState aState) {
    return aState == SharedState::kRollouts ? mRollouts.MakePush() : mState.MakePush(aState);
  };
  handlers.onRolloutStep = [this](const RolloutStepMessage& aStep) { mRollouts.OnStep(aStep); };
  handlers.onRolloutReport = [this](const RolloutReportMessage& aReport) {
    mRollouts.OnReport(aReport);
  };
  handlers.status = [this] { return Status(); };
  handlers.currency = [this] { return Currency(); };
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
  status.grayPercent =
    static_cast<std::uint32_t>(100 * mGate.Health().GrayProbabilityAt(mClock.Now()));
  status.configVersion = mState.ConfigVersion();
  status.evacuationsRevision = mState.EvacuationsAt().revision;
  status.evacuationsEpoch = mState.EvacuationsAt().epoch;
  status.storeEpoch = mStoreEpoch;
  status.leaving = mGate.State().LeavingInstance();
  status.vm = mSettings.vmName;
  status.reachesStore = ReachesStore();
  status.version = mGate.State().IsKnown() ? mGate.State().Current().version : std::string();
  status.rolloutsRevision = mRollouts.At().revision;
  status.rolloutsEpoch = mRollouts.At().epoch;
  status.service = mGate.State().IsKnown() ? mGate.State().Current().service : std::string();
  const auto age = std::chrono::duration_cast<Milliseconds>(mClock.Now() - mStartTime);
  status.ageMs = static_cast<std::uint32_t>(
    std::min<std::int64_t>(age.count(), std::numeric_limits<std::uint32_t>::max()));
  return status;
}

void SidecarNode::UpdateRateFleet()
{
  const TimePoint earliest = mClock.Now() - kFleetRestartWindow;
  const RateFleetView fleet{
    mLinks.AgreedVms(),      mLinks.All().size() + 1,
    mLinks.LiveVms().size(), mLinks.MajorityHeard(),
    mLinks.DetectionTime(),  mStartTime >= earliest && mLinks.MostBeganSince(earliest)
  };
  if (mRates.SetFleet(fleet)) {
    LogEvent(LogLevel::kInfo,
             Event::kRateFleetChanged,
             { { "alive", std::to_string(fleet.alive.size()) },
               { "known", std::to_string(fleet.known) },
               { "reached", std::to_string(fleet.reached) },
               { "restarted", fleet.restarted ? "yes" : "no" } });
  }
  mRetryRates.SetFleet(fleet);
}

/** Pulls the state of a peer that has a newer version. */
void SidecarNode::OnPeerState(PeerLink& aLink,
                              std::uint64_t aConfig,
                              StorePosition aEvacuations,
                              std::uint64_t aStoreEpoch)
{
  OnStoreEpoch(aStoreEpoch);
  const TimePoint now = mClock.Now();
  const bool near = aLink.Member().failureDomain == mSettings.failureDomain;
  if (mConfigPull.ShouldPull(now, { 0, mState.ConfigVersion() }, { 0, aConfig }, near)) {
    aLink.Pull(SharedState::kConfig);
  }
  if (mEvacuationPull.ShouldPull(now, mState.EvacuationsAt(), aEvacuations, near)) {
    aLink.Pull(SharedState::kEvacuations);
  }
}

} // namespace mustardwinch
