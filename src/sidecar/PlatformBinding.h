#pragma once

#include "mustardwinch/Result.h"
#include "rollout/StoredRollout.h"
#include "routing/TrafficConfig.h"
#include "sidecar/HttpNames.h"
#include "sidecar/UpstreamAnnouncement.h"
#include "store/ObjectStore.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace mustardwinch {

/** Message of the upstream to the control address of its node. */
struct UpstreamNotice
{
  UpstreamAnnouncement announcement; //!< only instance and processStartMs are set if leaves is true
  bool leaves = false;               //!< the upstream is about to exit

  bool operator==(const UpstreamNotice&) const = default;
};

/** Adapter to one platform: header names, document formats and store calls. */
struct PlatformBinding
{
  HttpNames names;
  ObjectStore store;
  std::string configName; //!< name of the stored object that holds the configuration
  std::function<Result<TrafficConfig>(const nlohmann::json& aSpec)> decodeConfig;
  /** @param aRest request path after HttpNames::announcePrefix */
  std::function<Result<UpstreamNotice>(const std::string& aRest, const std::string& aBody)>
    decodeNotice;
  std::function<StoredRollout(const StoredObject& aObject)> decodeRollout;
  std::function<nlohmann::json(const RolloutStatus& aStatus)> encodeRolloutStatus;
};

} // namespace mustardwinch
