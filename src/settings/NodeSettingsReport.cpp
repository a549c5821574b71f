#include "settings/NodeSettingsReport.h"

#include "settings/SettingsRules.h"

#include <utility>

namespace mustardwinch {
namespace {

void ReadAddresses(SpecReader& aReader,
                   const char* aName,
                   Presence aPresence,
                   const TextRule& aRule,
                   std::vector<Address>& aTarget)
{
  std::vector<std::string> texts;
  aReader.TextList(aName, aPresence, aRule, texts);
  for (const std::string& it : texts) {
    aTarget.push_back(Address::Parse(it).value_or(Address{}));
  }
}

void ReadListen(SpecReader aReader, NodeSettings& aSettings)
{
  ReadAddress(aReader, "link", kDialAddressRule, aSettings.link);
  ReadAddresses(aReader, "callers", Presence::kRequired, kAddressRule, aSettings.callers);
  ReadAddress(aReader, "control", kAddressRule, aSettings.control);
  aReader.Finish();
}

void ReadLimits(SpecReader aReader, LimitSettings& aLimits)
{
  const auto optional = Presence::kOptional;
  aReader.Unsigned("slices", optional, 1, LimitSettings::kMaxSlices, aLimits.slices);
  aReader.Unsigned("shards", optional, 1, LimitSettings::kMaxShards, aLimits.shards);
  aReader.Finish();
}

NodeSettings ReadFields(const nlohmann::json& aValue, std::vector<FieldProblem>& aProblems)
{
  NodeSettings settings;
  std::uint32_t graceSeconds = NodeSettings::kDefaultStopGraceSeconds;
  SpecReader reader(aValue, aProblems);
  reader.Text("vm_name", Presence::kRequired, kNameRule, settings.vmName);
  reader.Text("region", Presence::kRequired, kNameRule, settings.region);
  reader.Text("failure_domain", Presence::kRequired, kNameRule, settings.failureDomain);
  ReadListen(reader.Section("listen", Presence::kRequired), settings);
  ReadAddresses(reader, "platform", Presence::kRequired, kDialAddressRule, settings.platform);
  ReadAddresses(reader, "seeds", Presence::kOptional, kDialAddressRule, settings.seeds);
  reader.Unsigned("workers", Presence::kOptional, 1, NodeSettings::kMaxWorkers, settings.workers);
  reader.Text("log_level", Presence::kOptional, kLogLevelRule, settings.logLevel);
  reader.Unsigned(
    "stop_grace_s", Presence::kOptional, 1, NodeSettings::kMaxStopGraceSeconds, graceSeconds);
  ReadLimits(reader.Section("limits", Presence::kOptional), settings.limits);
  reader.Finish();
  settings.stopGrace = Seconds(graceSeconds);
  return settings;
}

bool Overlap(const Address& aLeft, const Address& aRight)
{
  return aLeft.port == aRight.port && (aLeft.ip == aRight.ip || aLeft.ip == 0 || aRight.ip == 0);
}

/** Two listening sockets must not take the same address. */
void CheckListeners(const NodeSettings& aSettings, std::vector<FieldProblem>& aProblems)
{
  std::vector<std::pair<std::string, Address>> listeners{ { "listen.link", aSettings.link },
                                                          { "listen.control", aSettings.control } };
  for (std::size_t i = 0; i < aSettings.callers.size(); ++i) {
    listeners.emplace_back("listen.callers[" + std::to_string(i) + "]", aSettings.callers[i]);
  }
  for (std::size_t i = 0; i < listeners.size(); ++i) {
    for (std::size_t k = 0; k < i; ++k) {
      const Address& address = listeners[i].second;
      if (address.port != 0 && Overlap(address, listeners[k].second)) {
        aProblems.push_back({ listeners[i].first,
                              address.ToString(),
                              "an address that " + listeners[k].first + " does not take" });
      }
    }
  }
}

} // namespace

NodeSettingsReport ReadNodeSettings(const std::string& aPath)
{
  return ReadSettingsFile<NodeSettings>(aPath, &ParseNodeSettings);
}

NodeSettingsReport ParseNodeSettings(const std::string& aText, const std::string& aFile)
{
  NodeSettings settings;
  const auto read = [&](const nlohmann::json& aValue, std::vector<FieldProblem>& aProblems) {
    settings = ReadFields(aValue, aProblems);
    CheckListeners(settings, aProblems);
  };
  std::vector<SettingsProblem> problems = CheckSettingsText(aText, aFile, read);
  if (!problems.empty()) {
    return FailedSettings<NodeSettings>(ResultCode::kSettingsInvalid, std::move(problems));
  }
  return { settings, {} };
}

} // namespace mustardwinch
