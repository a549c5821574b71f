#include "sidecar/SidecarNode.h"

#include "mustardwinch/Event.h"
#include "sidecar/CallCodec.h"
#include "sidecar/SharedRetryBudget.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** Minimum time for which a full gate is skipped; otherwise it is skipped for half of the expected
 * wait. */
constexpr Milliseconds kMinFullTime{ 50 };

GateCallResult ToResult(CallResultMessage aResult)
{
  return FromMessage(std::move(aResult));
}

GateCallResult ToResult(PeerLink::LostCall aLost)
{
  GateCallResult lost;
  lost.outcome = aLost.mayHaveRun ? CallOutcome::kFailed : CallOutcome::kRefused;
  lost.reason = ResultCode::kLinkDown;
  lost.reached = aLost.mayHaveRun;
  return lost;
}

} // namespace

Gate::Delegate SidecarNode::MakeGateDelegate()
{
  Gate::Delegate delegate;
  delegate.coldRequestsPerSecond = [this](const std::string& aService) -> std::optional<double> {
    const auto routing = mState.Routing();
    if (!routing) {
      return std::nullopt;
    }
    const TrafficService* service = routing->FindService(aService);
    return service != nullptr ? service->coldRequestsPerSecond : 0.0;
  };
  delegate.healthPath = [this](const std::string& aService) {
    const auto routing = mState.Routing();
    const TrafficService* service = routing ? routing->FindService(aService) : nullptr;
    return service != nullptr ? service->healthPath : std::string();
  };
  delegate.mayRun = [this](const UpstreamAnnouncement& aUpstream, const std::string& aMeantFor) {
    return mRollouts.MayRun(aUpstream.service, aUpstream.version, aMeantFor);
  };
  delegate.isInUse = [this](const UpstreamAnnouncement& aUpstream) {
    return mRollouts.IsInUse(aUpstream.service, aUpstream.version);
  };
  delegate.isEvacuated = [this](const std::string& aDomain) { return mState.IsEvacuated(aDomain); };
  delegate.onStatusChange = [this](bool aForAll) {
    mServer.Broadcast(aForAll ? std::string() : mSettings.failureDomain);
  };
  return delegate;
}

IngressServices SidecarNode::MakeIngressServices()
{
  return IngressServices{
    mLoop,
    mClock,
    mBinding.names,
    mSettings.vmName,
    mSettings.failureDomain,
    [this] { return mSettings.service; },
    [this] { return mState.Routing(); },
    [this] { return mKeys.MayAcceptKeys(mClock.Now()); },
    MakeGateDirectory(),
    [this](const Organisation& aOrganisation, RateTokenBroker::VerdictFn aDone) {
      mRates.Acquire(aOrganisation, std::move(aDone));
    },
    [this](const std::string& aOrganisation) { mRates.OnRetry(aOrganisation); },
    [this](const std::string& aService) -> NodeRetryBudget& { return RetryAllowanceFor(aService); },
    [this](const std::string& aService, const std::function<void(bool)>& aDone) {
      mRetryRates.Acquire(MakeSharedRetryBudget(aService, mSettings.retries),
                          [aDone](const RateVerdict& aVerdict) {
                            aDone(aVerdict.kind == RateVerdict::Kind::kGranted);
                          });
    },
    [this] { return mGate.RetryShare(); },
    [this](const std::string& aService) { return mRollouts.DrawTarget(aService); },
    [this](const std::string& aService, bool aDrawn) { return mRollouts.RuleFor(aService, aDrawn); }
  };
}

NodeRetryBudget& SidecarNode::RetryAllowanceFor(const std::string& aService)
{
  const auto it = mRetries.find(aService);
  if (it != mRetries.end()) {
    return it->second;
  }
  const RetrySettings& budget = mSettings.retries;
  const auto fresh = NodeRetryBudget::ForNode(budget.ratio, budget.slack, mLinks.All().size() + 1);
  return mRetries.emplace(aService, fresh).first->second;
}

GateDirectory SidecarNode::MakeGateDirectory()
{
  GateDirectory gates;
  gates.views = [this] { return GateViews(); };
  gates.submit = [this](const std::string& aVm, GateCall aCall, GateDirectory::ResultFn aDone) {
    return aVm == mSettings.vmName ? SubmitLocally(std::move(aCall), std::move(aDone))
                                   : SubmitToPeer(aVm, aCall, std::move(aDone));
  };
  gates.onChosen = [this](const std::string& aVm) {
    PeerLink* link = mLinks.Find(aVm);
    GateView& view = link != nullptr ? link->View() : mOwnView;
    view.lastChosen = mClock.Now();
  };
  gates.onQueueFull = [this](const std::string& aVm, Milliseconds aWait) {
    PeerLink* link = mLinks.Find(aVm);
    GateView& view = link != nullptr ? link->View() : mOwnView;
    view.fullUntil = mClock.Now() + std::max(aWait / 2, kMinFullTime);
  };
  return gates;
}

std::vector<const GateView*> SidecarNode::GateViews()
{
  mOwnView.vm = mSettings.vmName;
  mOwnView.failureDomain = mSettings.failureDomain;
  mOwnView.self = true;
  mOwnView.service = mGate.State().IsKnown() ? mGate.State().Current().service : std::string();
  mOwnView.version = mGate.State().IsKnown() ? mGate.State().Current().version : std::string();
  mOwnView.available = mGate.IsAvailable();
  mOwnView.trust = mGate.Trust();
  mOwnView.running = mGate.Running();
  mOwnView.queued = mGate.Queued();
  mOwnView.slots = mGate.State().IsKnown() ? mGate.State().Current().slots : 1;
  mOwnView.grayProbability = mGate.Health().GrayProbabilityAt(mClock.Now());
  mOwnView.latencyRatio = mGate.Health().LatencyRatioAt(mClock.Now());
  std::vector<const GateView*> views{ &mOwnView };
  for (const auto& [vm, link] : mLinks.All()) {
    views.push_back(&link->View());
  }
  return views;
}

GateDirectory::CancelFn SidecarNode::SubmitLocally(GateCall aCall, GateDirectory::ResultFn aDone)
{
  const Gate::Ticket ticket = mGate.Submit(std::move(aCall), std::move(aDone));
  return [this, ticket] { mGate.Cancel(ticket); };
}

GateDirectory::CancelFn SidecarNode::SubmitToPeer(const std::string& aVm,
                                                  const GateCall& aCall,
                                                  GateDirectory::ResultFn aDone)
{
  PeerLink* link = mLinks.Find(aVm);
  std::uint64_t id = 0;
  const auto onResult = [done = std::move(aDone)](PeerLink::CallEnd aEnd) {
    done(std::visit([](auto aOne) { return ToResult(std::move(aOne)); }, std::move(aEnd)));
  };
  if (link == nullptr || !link->Call(ToMessage(aCall), aCall.request.body, onResult, id)) {
    return nullptr;
  }
  return [weak = link->weak_from_this(), id] {
    if (const auto alive = weak.lock()) {
      alive->Cancel(id);
    }
  };
}

} // namespace mustardwinch
