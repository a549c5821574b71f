#include "sidecar/SidecarNode.h"

#include "mustardwinch/Event.h"
#include "sidecar/WatchDuty.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

// Waits of the node that has the watch duty, and of the others; see WatchDuty.h.
constexpr Milliseconds kWatcherWait{ 1'300 };
constexpr Milliseconds kNonWatcherWait{ 30'000 };

/** Wait of a node whose configuration no peer has confirmed in time. */
constexpr Milliseconds kConfirmWait{ 200 };

} // namespace

KindWatcher::Handlers SidecarNode::ConfigHandlers()
{
  const auto offer = [this](const StoredObject& aObject) {
    if (!aObject.removed && aObject.name == mBinding.configName) {
      mState.ApplyConfigIfNewer(aObject.spec, "store");
    }
  };
  return { [offer](const std::vector<StoredObject>& aObjects, std::uint64_t) {
            std::for_each(aObjects.begin(), aObjects.end(), offer);
          },
           [offer](const StoredObject& aObject, std::uint64_t) { offer(aObject); },
           [this](bool aReachable, const std::string& aDetail) {
             OnStoreReachable(StoredKind::kConfig, aReachable, aDetail);
           },
           [this](TimePoint aAsOf) {
             if (!mState.LastConfigRejected()) {
               mKeys.Confirm(aAsOf);
             }
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
            if (mMembersKnownSince == TimePoint{}) {
              mMembersKnownSince = mClock.Now();
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
  if (aReachable) { // the store is reachable again, so the other watchers need not wait
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

bool SidecarNode::ReachesStore() const
{
  const auto it = mReachable.find(StoredKind::kConfig);
  return it == mReachable.end() || it->second;
}

/** Until the links are up, each node would take itself for the one that polls for its failure
 * domain, and a fleet that starts would ask the store for the newest state from all nodes at once.
 */
void SidecarNode::StartWatchers()
{
  mConfigWatcher.SetWait(kNonWatcherWait, Freshness::kMayLag);
  mEvacuationWatcher.SetWait(kNonWatcherWait, Freshness::kMayLag);
  if (mKeys.IsStrict()) {
    mConfigWatcher.RequireNewestFirstList();
  }
  mConfigWatcher.Start();
  mEvacuationWatcher.Start();
  mMemberWatcher.Start();
}

void SidecarNode::ConfigureWatchers()
{
  std::vector<WatchCandidate> near{ { mSettings.vmName, ReachesStore() } };
  for (const auto& [vm, link] : mLinks.All()) {
    if (link->IsLive() && link->Member().failureDomain == mSettings.failureDomain) {
      near.push_back({ vm, link->ReachesStore() });
    }
  }
  const bool watcher = HasWatchDuty(near, mSettings.vmName);
  const Milliseconds wait = watcher ? kWatcherWait : kNonWatcherWait;
  const Freshness freshness = watcher ? Freshness::kNewest : Freshness::kMayLag;
  mEvacuationWatcher.SetWait(wait, freshness);
  mMemberWatcher.SetWait(kNonWatcherWait, freshness);
  if (mKeys.ShouldAskStore(mClock.Now())) {
    mConfigWatcher.SetWait(kConfirmWait, Freshness::kNewest);
  } else if (watcher && mKeys.IsStrict()) {
    mConfigWatcher.SetWait(mKeys.WatchWait(), Freshness::kNewest);
  } else {
    mConfigWatcher.SetWait(wait, freshness);
  }
}

} // namespace mustardwinch
