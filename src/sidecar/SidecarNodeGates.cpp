#include "sidecar/SidecarNode.h"

#include "mustardwinch/Event.h"
#include "sidecar/CallCodec.h"
#include "sidecar/RetryPool.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** A full gate is asked again after half of the expected wait, at least. */
constexpr Milliseconds kLeastFullTime{ 50 };

GateCallResult ResultOf(CallResultMessage aResult)
{
  return FromMessage(std::move(aResult));
}

GateCallResult ResultOf(PeerLink::LostCall aLost)
{
  GateCallResult lost;
  lost.outcome = aLost.mayHaveRun ? CallOutcome::kFailed : CallOutcome::kRefused;
  lost.reason = ResultCode::kLinkDown;
  lost.reached = aLost.mayHaveRun;
  return lost;
}

} // namespace

Gate::Surroundings SidecarNode::GateSurroundings()
{
  Gate::Surroundings surroundings;
  surroundings.coldRequestsPerSecond = [this](const std::string& aService) {
    const auto routing = mState.Routing();
    const TrafficService* service = routing ? routing->FindService(aService) : nullptr;
    return service != nullptr ? service->coldRequestsPerSecond : 0.0;
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
    [this](const std::string& aService) -> NodeRetryBudget& { return Retries(aService); },
    [this](const std::string& aService, const std::function<void(bool)>& aDone) {
      mRetryRates.Ask(RetryPoolOf(aService, mSettings.retries),
                      [aDone](const RateVerdict& aVerdict) {
                        aDone(aVerdict.kind == RateVerdict::Kind::kGranted);
                      });
    },
    [this] { return mGate.RepeatShare(); }
  };
}

NodeRetryBudget& SidecarNode::Retries(const std::string& aService)
{
  const auto it = mRetries.find(aService);
  if (it != mRetries.end()) {
    return it->second;
  }
  const RetrySettings& budget = mSettings.retries;
  const auto fresh = NodeRetryBudget::ForNode(budget.ratio, budget.slack, mLinks.All().size() + 1);
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
  mOwnView.grayProbability = mGate.Health().GrayProbabilityAt(mClock.Now());
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
  const auto onResult = [done = std::move(aDone)](PeerLink::CallEnd aEnd) {
    done(std::visit([](auto aOne) { return ResultOf(std::move(aOne)); }, std::move(aEnd)));
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

} // namespace mustardwinch
