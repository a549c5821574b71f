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

FleetState::FleetState(const Clock& aClock, const PlatformBinding& aBinding, Handlers aHandlers)
  : mClock(aClock)
  , mBinding(aBinding)
  , mHandlers(std::move(aHandlers))
{
}

bool FleetState::ApplyConfigIfNewer(const json& aSpec, const char* aFrom)
{
  auto config = mBinding.decodeConfig(aSpec);
  mLastConfigRejected = !config;
  if (!config) {
    LogEvent(LogLevel::kError,
             Event::kResourceRejected,
             { { "from", aFrom }, { "detail", config.Error().detail } });
    return false;
  }
  if (mRouting && config.Value().version <= ConfigVersion()) {
    return config.Value().version == ConfigVersion();
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
  return true;
}

void FleetState::SetEvacuations(const std::set<std::string>& aDomains,
                                StorePosition aAt,
                                const char* aFrom)
{
  const auto change = mEvacuations.Set(aDomains, aAt, mClock.Now());
  if (change == EvacuationState::Change::kOutdated) {
    LogEvent(LogLevel::kInfo,
             Event::kStateOutdated,
             { { "state", "evacuations" },
               { "out", Join(aDomains) },
               { "revision", std::to_string(aAt.revision) },
               { "epoch", std::to_string(aAt.epoch) },
               { "held", std::to_string(mEvacuations.At().revision) },
               { "held_epoch", std::to_string(mEvacuations.At().epoch) },
               { "from", aFrom } });
  }
  OnEvacuationChange(change, aFrom);
}

void FleetState::SetEvacuation(const std::string& aDomain, bool aEvacuated, StorePosition aAt)
{
  OnEvacuationChange(mEvacuations.SetOne(aDomain, aEvacuated, aAt, mClock.Now()), "store");
}

void FleetState::Tick()
{
  OnEvacuationChange(mEvacuations.Expire(mClock.Now()), "time");
}

void FleetState::OnEvacuationChange(EvacuationState::Change aChange, const char* aFrom) const
{
  if (aChange != EvacuationState::Change::kInEffect) {
    return;
  }
  LogEvent(LogLevel::kInfo,
           Event::kEvacuationsChanged,
           { { "out", Join(mEvacuations.InEffect()) },
             { "revision", std::to_string(mEvacuations.At().revision) },
             { "epoch", std::to_string(mEvacuations.At().epoch) },
             { "from", aFrom } });
  mHandlers.onEvacuations();
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
    SetEvacuations(domains, { aPush.epoch, aPush.version }, "peer");
  }
}

StatePushMessage FleetState::MakePush(SharedState aState) const
{
  const auto kind = static_cast<std::uint8_t>(aState);
  if (aState == SharedState::kEvacuations) {
    const StorePosition at = mEvacuations.At();
    return { kind, at.revision, json(mEvacuations.Listed()).dump(), at.epoch };
  }
  return { kind, ConfigVersion(), mConfigDocument.empty() ? "null" : mConfigDocument, 0 };
}

} // namespace mustardwinch
