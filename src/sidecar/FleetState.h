#pragma once

#include "fleet/FleetMessage.h"
#include "mustardwinch/Clock.h"
#include "routing/RoutingTable.h"
#include "sidecar/EvacuationState.h"
#include "sidecar/PlatformBinding.h"
#include "store/StorePosition.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Configuration and evacuations in effect, from the store or from peers with newer versions.
 *
 * Load pattern: the store does not respond, or rejects some nodes, while operators change the
 * configuration. A version is never replaced by an older one, whatever its source.
 */
class FleetState
{
public:
  struct Handlers
  {
    std::function<void()> onConfig;
    std::function<void()> onEvacuations;
  };

  FleetState(const Clock& aClock, const PlatformBinding& aBinding, Handlers aHandlers);

  /**
   * Applies a configuration if it is newer than the current one. The operators number versions, so
   * their order holds in all histories of the store.
   *
   * @param aFrom source, for the log
   * @return whether it is valid and no older than the current one was
   */
  bool ApplyConfigIfNewer(const nlohmann::json& aSpec, const char* aFrom);

  void SetEvacuations(const std::set<std::string>& aDomains, StorePosition aAt, const char* aFrom);
  void SetEvacuation(const std::string& aDomain, bool aEvacuated, StorePosition aAt);

  /** Called several times a second. */
  void Tick();

  /** Applies state that a peer sent. */
  void ApplyPush(const StatePushMessage& aPush);

  /** Returns the message that sends this state to a peer. */
  StatePushMessage MakePush(SharedState aState) const;

  std::shared_ptr<const RoutingTable> Routing() const { return mRouting; }
  std::uint64_t ConfigVersion() const { return mRouting ? mRouting->Config().version : 0; }

  /** The last configuration that was offered is malformed, so a newer one may not be in effect. */
  bool LastConfigRejected() const { return mLastConfigRejected; }
  StorePosition EvacuationsAt() const { return mEvacuations.At(); }
  bool IsEvacuated(const std::string& aDomain) const { return mEvacuations.IsEvacuated(aDomain); }

private:
  void OnEvacuationChange(EvacuationState::Change aChange, const char* aFrom) const;

  const Clock& mClock;
  const PlatformBinding& mBinding;
  const Handlers mHandlers;
  std::shared_ptr<const RoutingTable> mRouting;
  std::string mConfigDocument; //!< the configuration in the format of the store, sent to peers
  bool mLastConfigRejected = false;
  EvacuationState mEvacuations;
};

} // namespace mustardwinch
