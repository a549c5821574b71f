#include "sidecar/SidecarNode.h"

#include <utility>

namespace mustardwinch {

// The node's part of roll-outs: what RolloutAgent needs of the links, the gate and the store.

RolloutAgent::Delegate SidecarNode::MakeRolloutDelegate()
{
  RolloutAgent::Delegate delegate;
  delegate.members = [this] { return RolloutMembers(); };
  delegate.send = [this](const std::string& aVm, const std::string& aFrame) {
    if (PeerLink* link = mLinks.Find(aVm)) {
      link->Tell(aFrame);
    }
  };
  delegate.report = [this] { return ReportForRollout(); };
  delegate.beginEvidence = [this] { mGate.BeginEvidence(); };
  delegate.isServiceKnown = [this](const std::string& aService) {
    const auto routing = mState.Routing();
    return routing && routing->FindService(aService) != nullptr;
  };
  delegate.onChange = [this] { OnRolloutChange(); };
  return delegate;
}

std::vector<RolloutAgent::Member> SidecarNode::RolloutMembers() const
{
  const RolloutReport own = ReportForRollout();
  std::vector<RolloutAgent::Member> members{
    { mSettings.vmName, own.service, own.version, ReachesStore() }
  };
  for (const auto& [vm, link] : mLinks.All()) {
    if (link->IsLive()) {
      members.push_back({ vm, link->View().service, link->View().version, link->ReachesStore() });
    }
  }
  return members;
}

RolloutReport SidecarNode::ReportForRollout() const
{
  RolloutReport report;
  if (!mGate.State().IsKnown()) {
    return report;
  }
  report.service = mGate.State().Current().service;
  report.vm = mSettings.vmName;
  report.version = mGate.State().Current().version;
  report.warm = mGate.IsWarm();
  report.running = mGate.Running() + mGate.Queued();
  report.routes = mGate.Evidence();
  return report;
}

void SidecarNode::OnRolloutChange()
{
  mGate.OnRestriction();
}

void SidecarNode::PullRollouts(PeerLink& aLink, StorePosition aTheirs)
{
  const bool near = aLink.Member().failureDomain == mSettings.failureDomain;
  if (mRollouts.IsEnabled() &&
      mRolloutPull.ShouldPull(mClock.Now(), mRollouts.At(), aTheirs, near)) {
    aLink.Pull(SharedState::kRollouts);
  }
}

KindWatcher::Handlers SidecarNode::RolloutHandlers()
{
  return { [this](const std::vector<StoredObject>& aObjects, StorePosition aAt) {
            mRollouts.OnList(aObjects, aAt);
          },
           [this](const StoredObject& aObject, StorePosition aAt) {
             mRollouts.OnChange(aObject, aAt);
           },
           [this](bool aReachable, const std::string& aDetail) {
             OnStoreReachable(StoredKind::kRollouts, aReachable, aDetail);
           } };
}

} // namespace mustardwinch
