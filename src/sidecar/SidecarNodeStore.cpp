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

/** Wait for orders of roll-outs, of the node that has the watch duty: an order that the store told
 * nobody costs a part of its time, but nothing waits for it. */
constexpr Milliseconds kRolloutWait{ 4'000 };

/** Wait of a node whose configuration no peer has confirmed in time. */
constexpr Milliseconds kConfirmWait{ 200 };

} // namespace

KindWatcher::Handlers SidecarNode::ConfigHandlers()
{
  return { [this](const std::vector<StoredObject>& aObjects, StorePosition) {
            mStoreHasCurrent = false; // until the list shows it
            for (const StoredObject& it : aObjects) {
              OnStoredConfig(it);
            }
          },
           [this](const StoredObject& aObject, StorePosition) { OnStoredConfig(aObject); },
           [this](bool aReachable, const std::string& aDetail) {
             OnStoreReachable(StoredKind::kConfig, aReachable, aDetail);
           },
           [this](TimePoint aAsOf) {
             if (mStoreHasCurrent) {
               mKeys.Confirm(aAsOf);
             }
           } };
}

void SidecarNode::OnStoredConfig(const StoredObject& aObject)
{
  if (aObject.removed || aObject.name != mBinding.configName) {
    return;
  }
  // A copy holds the configuration at the revision at which it was known before.
  const bool written = aObject.revision != mStoredConfigRevision;
  mStoredConfigRevision = aObject.revision;
  mStoreHasCurrent = mState.ApplyConfigIfNewer(aObject.spec, "store");
  if (written && mStoreHasCurrent) {
    mKeys.OnRewritten();
  }
}

void SidecarNode::OnStoreEpoch(std::uint64_t aEpoch)
{
  if (aEpoch <= mStoreEpoch) {
    return;
  }
  const std::uint64_t before = std::exchange(mStoreEpoch, aEpoch);
  if (before != 0) {
    mKeys.OnHistoryReplaced(mClock.Now());
    LogEvent(LogLevel::kWarn,
             Event::kStoreHistoryReplaced,
             { { "epoch", std::to_string(aEpoch) },
               { "before", std::to_string(before) },
               { "config", std::to_string(mState.ConfigVersion()) } });
  }
  mConfigWatcher.OnEpoch(aEpoch);
  mEvacuationWatcher.OnEpoch(aEpoch);
  mMemberWatcher.OnEpoch(aEpoch);
  mRolloutWatcher.OnEpoch(aEpoch);
}

KindWatcher::Handlers SidecarNode::EvacuationHandlers()
{
  return { [this](const std::vector<StoredObject>& aObjects, StorePosition aAt) {
            std::set<std::string> domains;
            for (const StoredObject& it : aObjects) {
              if (!it.removed) {
                domains.insert(it.name);
              }
            }
            mState.SetEvacuations(domains, aAt, "store");
          },
           [this](const StoredObject& aObject, StorePosition aAt) {
             mState.SetEvacuation(aObject.name, !aObject.removed, aAt);
           },
           [this](bool aReachable, const std::string& aDetail) {
             OnStoreReachable(StoredKind::kEvacuations, aReachable, aDetail);
           } };
}

KindWatcher::Handlers SidecarNode::MemberHandlers()
{
  return { [this](const std::vector<StoredObject>& aObjects, StorePosition aAt) {
            mRegistrar.OnList(aObjects, aAt);
            if (mMembersKnownSince == TimePoint{}) {
              mMembersKnownSince = mClock.Now();
            }
          },
           [this](const StoredObject& aObject, StorePosition) { mRegistrar.OnChange(aObject); },
           [this](bool aReachable, const std::string& aDetail) {
             OnStoreReachable(StoredKind::kMembers, aReachable, aDetail);
           } };
}

void SidecarNode::OnStoreReachable(StoredKind aKind, bool aReachable, const std::string& aDetail)
{
  constexpr const char* kNames[] = { "config", "evacuations", "members", "rollouts" };
  mReachable[aKind] = aReachable;
  LogEvent(aReachable ? LogLevel::kInfo : LogLevel::kWarn,
           aReachable ? Event::kPlatformBack : Event::kPlatformLost,
           { { "for", kNames[static_cast<std::size_t>(aKind)] }, { "detail", aDetail } });
  if (aReachable) { // the store is reachable again, so the other watchers need not wait
    mConfigWatcher.Wake();
    mEvacuationWatcher.Wake();
    mMemberWatcher.Wake();
    mRolloutWatcher.Wake();
  }
}

void SidecarNode::OnConfig()
{
  mCallers.SetLimits(mState.Routing()->Config().limits);
  mLinks.Announce();
}

void SidecarNode::OnEvacuations()
{
  mGate.OnRestriction();
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
  if (mRollouts.IsEnabled()) {
    mRolloutWatcher.SetWait(kNonWatcherWait, Freshness::kMayLag);
    mRolloutWatcher.Start();
  }
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
  mRolloutWatcher.SetWait(watcher ? kRolloutWait : kNonWatcherWait, freshness);
  if (mKeys.ShouldAskStore(mClock.Now())) {
    mConfigWatcher.SetWait(kConfirmWait, Freshness::kNewest);
  } else if (watcher && mKeys.IsStrict()) {
    mConfigWatcher.SetWait(mKeys.WatchWait(), Freshness::kNewest);
  } else {
    mConfigWatcher.SetWait(wait, freshness);
  }
}

} // namespace mustardwinch
