#include "sidecar/FleetState.h"

#include "base/UntrustedJson.h"
#include "mustardwinch/Event.h"

#include <utility>

namespace mustardwinch {
namespace {

using nlohmann::json;

std::string Join(const std::set<std::string>& aNames)
{
  std::string text;
  for (const std::string& it : aNames) {
    text += text.empty() ? it : "," + it;
  }
  return text.empty() ? "none" : text;
}

} // namespace

FleetState::FleetState(const PlatformBinding& aBinding, Handlers aHandlers)
  : mBinding(aBinding)
  , mHandlers(std::move(aHandlers))
{
}

void FleetState::ApplyConfigIfNewer(const json& aSpec, const char* aFrom)
{
  auto config = mBinding.decodeConfig(aSpec);
  mLastConfigRejected = !config;
  if (!config) {
    LogEvent(LogLevel::kError,
             Event::kResourceRejected,
             { { "from", aFrom }, { "detail", config.Error().detail } });
    return;
  }
  if (mRouting && config.Value().version <= ConfigVersion()) {
    return;
  }
  const std::uint64_t before = ConfigVersion();
  mConfigDocument = aSpec.dump();
  mRouting = std::make_shared<const RoutingTable>(std::move(config.Value()));
  LogEvent(LogLevel::kInfo,
           Event::kConfigApplied,
           { { "version", std::to_string(ConfigVersion()) },
             { "before", std::to_string(before) },
             { "from", aFrom },
             { "routes", std::to_string(mRouting->Config().routes.size()) } });
  mHandlers.onConfig();
}

void FleetState::SetEvacuations(std::set<std::string> aDomains,
                                std::uint64_t aRevision,
                                const char* aFrom)
{
  if (aRevision < mEvacuationsRevision) {
    if (aDomains != mEvacuated) {
      LogEvent(LogLevel::kInfo,
               Event::kStateOutdated,
               { { "state", "evacuations" },
                 { "out", Join(aDomains) },
                 { "revision", std::to_string(aRevision) },
                 { "held", std::to_string(mEvacuationsRevision) },
                 { "from", aFrom } });
    }
    return;
  }
  mEvacuationsRevision = aRevision;
  if (aDomains == mEvacuated) {
    return;
  }
  mEvacuated = std::move(aDomains);
  LogEvent(LogLevel::kInfo,
           Event::kEvacuationsChanged,
           { { "out", Join(mEvacuated) },
             { "revision", std::to_string(mEvacuationsRevision) },
             { "from", aFrom } });
  mHandlers.onEvacuations();
}

void FleetState::SetEvacuation(const std::string& aDomain, bool aEvacuated, std::uint64_t aRevision)
{
  std::set<std::string> domains = mEvacuated;
  if (aEvacuated) {
    domains.insert(aDomain);
  } else {
    domains.erase(aDomain);
  }
  SetEvacuations(std::move(domains), aRevision, "store");
}

void FleetState::ApplyPush(const StatePushMessage& aPush)
{
  const json document = ParseUntrustedJson(aPush.document);
  if (document.is_discarded()) {
    LogEvent(LogLevel::kWarn, Event::kFrameRejected, { { "for", "state of a peer" } });
    return;
  }
  const auto state = static_cast<SharedState>(aPush.state);
  if (state == SharedState::kConfig && document.is_object()) {
    ApplyConfigIfNewer(document, "peer");
  } else if (state == SharedState::kEvacuations && document.is_array()) {
    std::set<std::string> domains;
    for (const json& it : document) {
      if (it.is_string()) {
        domains.insert(it.get<std::string>());
      }
    }
    SetEvacuations(std::move(domains), aPush.version, "peer");
  }
}

StatePushMessage FleetState::MakePush(SharedState aState) const
{
  const auto kind = static_cast<std::uint8_t>(aState);
  if (aState == SharedState::kEvacuations) {
    return { kind, mEvacuationsRevision, json(mEvacuated).dump() };
  }
  return { kind, ConfigVersion(), mConfigDocument.empty() ? "null" : mConfigDocument };
}

} // namespace mustardwinch
