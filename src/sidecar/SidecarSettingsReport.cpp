#include "sidecar/SidecarSettingsReport.h"

#include "settings/SettingsRules.h"

#include <utility>

namespace mustardwinch {
namespace {

constexpr std::uint32_t kMaxStopGraceSeconds = 3'600;
constexpr std::uint32_t kMaxLogLines = 100'000;
constexpr std::uint32_t kMaxRetryWindowSeconds = 600;
constexpr double kMaxRetrySlack = 100'000;
constexpr double kMaxRateSlack = 100'000;
constexpr double kMinRateWindowSeconds = 0.1;
constexpr double kMaxRateWindowSeconds = 600;
constexpr std::uint32_t kMinRevocationMs = 500;
constexpr std::uint32_t kMaxRevocationMs = 3'600'000;
constexpr std::uint32_t kMinMemoryMb = 32;
constexpr std::uint32_t kMaxMemoryMb = 1U << 20;
constexpr std::uint32_t kMinDescriptors = 256;
constexpr std::uint32_t kMaxDescriptors = 1U << 20;
constexpr double kMaxExposeSlack = 100'000;
constexpr std::uint32_t kMinRollbackMs = 500;
constexpr std::uint32_t kMaxRollbackMs = 3'600'000;
constexpr double kMaxColdFactor = 10;
constexpr double kMaxColdSlack = 10'000;

bool IsAnyText(std::string_view aText)
{
  return !aText.empty();
}

constexpr TextRule kAnyTextRule{ "a text", &IsAnyText };

void ReadListen(SpecReader aReader, SidecarSettings& aSettings)
{
  ReadAddress(aReader, "link", kDialAddressRule, aSettings.link);
  std::string advertised = aSettings.link.ToString();
  aReader.Text("advertised_link", Presence::kOptional, kDialAddressRule, advertised);
  aSettings.advertisedLink = Address::Parse(advertised).value_or(aSettings.link);
  ReadAddress(aReader, "callers", kAddressRule, aSettings.callers);
  ReadAddress(aReader, "readiness", kAddressRule, aSettings.readiness);
  ReadAddress(aReader, "control", kAddressRule, aSettings.control);
  ReadAddress(aReader, "metrics", kAddressRule, aSettings.metrics);
  aReader.Finish();
}

void ReadRetries(SpecReader aReader, RetrySettings& aSettings)
{
  auto window = static_cast<std::uint32_t>(aSettings.window.count());
  aReader.Number("ratio", Presence::kOptional, 0, 1, aSettings.ratio);
  aReader.Number("slack", Presence::kOptional, 0, kMaxRetrySlack, aSettings.slack);
  aReader.Unsigned("window_s", Presence::kOptional, 1, kMaxRetryWindowSeconds, window);
  aSettings.window = Seconds(window);
  aReader.Finish();
}

void ReadCold(SpecReader aReader, ColdSettings& aSettings)
{
  aReader.Number("factor", Presence::kOptional, 0, kMaxColdFactor, aSettings.factor);
  aReader.Number("bound_ratio", Presence::kOptional, 0, kMaxColdFactor, aSettings.boundRatio);
  aReader.Number("bound_slack", Presence::kOptional, 0, kMaxColdSlack, aSettings.boundSlack);
  aReader.Finish();
}

void ReadRates(SpecReader aReader, RateSettings& aSettings)
{
  double window = std::chrono::duration<double>(aSettings.window).count();
  aReader.Number("slack", Presence::kOptional, 0, kMaxRateSlack, aSettings.slack);
  aReader.Number("overrun", Presence::kOptional, 0, 1, aSettings.overrun);
  aReader.Number(
    "window_s", Presence::kOptional, kMinRateWindowSeconds, kMaxRateWindowSeconds, window);
  aSettings.window =
    std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(window));
  aReader.Finish();
}

void ReadRevocation(SpecReader aReader, RevocationSettings& aSettings)
{
  auto bound = static_cast<std::uint32_t>(aSettings.bound.count());
  aReader.Bool("strict", Presence::kOptional, aSettings.strict);
  aReader.Unsigned("bound_ms", Presence::kOptional, kMinRevocationMs, kMaxRevocationMs, bound);
  aSettings.bound = Milliseconds(bound);
  aReader.Finish();
}

void ReadResources(SpecReader aReader, ResourceSettings& aSettings)
{
  aReader.Unsigned(
    "memory_mb", Presence::kOptional, kMinMemoryMb, kMaxMemoryMb, aSettings.memoryMb);
  aReader.Unsigned(
    "descriptors", Presence::kOptional, kMinDescriptors, kMaxDescriptors, aSettings.descriptors);
  aReader.Finish();
}

void ReadRollouts(SpecReader aReader, RolloutSettings& aSettings)
{
  auto rollback = static_cast<std::uint32_t>(aSettings.rollback.count());
  aReader.Bool("enabled", Presence::kOptional, aSettings.enabled);
  aReader.Number("expose_share", Presence::kOptional, 0, 1, aSettings.exposeShare);
  aReader.Number("expose_slack", Presence::kOptional, 0, kMaxExposeSlack, aSettings.exposeSlack);
  aReader.Unsigned("rollback_ms", Presence::kOptional, kMinRollbackMs, kMaxRollbackMs, rollback);
  aSettings.rollback = Milliseconds(rollback);
  aReader.Finish();
}

void ReadPlacement(SpecReader aReader, PlacementSettings& aSettings)
{
  aReader.Bool("cost_aware", Presence::kOptional, aSettings.costAware);
  aReader.Finish();
}

SidecarSettings ReadFields(const nlohmann::json& aValue, std::vector<FieldProblem>& aProblems)
{
  SidecarSettings settings;
  auto grace = static_cast<std::uint32_t>(settings.stopGrace.count());
  SpecReader reader(aValue, aProblems);
  reader.Text("vm_name", Presence::kRequired, kAnyTextRule, settings.vmName);
  reader.Text("region", Presence::kRequired, kAnyTextRule, settings.region);
  reader.Text("failure_domain", Presence::kRequired, kAnyTextRule, settings.failureDomain);
  reader.Text("service", Presence::kOptional, kAnyTextRule, settings.service);
  ReadListen(reader.Section("listen", Presence::kRequired), settings);
  ReadAddress(reader, "platform", kDialAddressRule, settings.platform);
  reader.Unsigned("stop_grace_s", Presence::kOptional, 1, kMaxStopGraceSeconds, grace);
  ReadCold(reader.Section("cold", Presence::kOptional), settings.cold);
  ReadRetries(reader.Section("retries", Presence::kOptional), settings.retries);
  ReadRates(reader.Section("rates", Presence::kOptional), settings.rates);
  ReadRevocation(reader.Section("revocation", Presence::kOptional), settings.revocation);
  ReadResources(reader.Section("resources", Presence::kOptional), settings.resources);
  ReadRollouts(reader.Section("rollouts", Presence::kOptional), settings.rollouts);
  ReadPlacement(reader.Section("placement", Presence::kOptional), settings.placement);
  reader.Text("log_level", Presence::kOptional, kLogLevelRule, settings.logLevel);
  reader.Unsigned(
    "log_lines_per_s", Presence::kOptional, 1, kMaxLogLines, settings.logLinesPerSecond);
  reader.Finish();
  settings.stopGrace = Seconds(grace);
  return settings;
}

} // namespace

SidecarSettingsReport ParseSidecarSettings(const std::string& aText, const std::string& aFile)
{
  SidecarSettings settings;
  const auto read = [&](const nlohmann::json& aValue, std::vector<FieldProblem>& aProblems) {
    settings = ReadFields(aValue, aProblems);
  };
  std::vector<SettingsProblem> problems = CheckSettingsText(aText, aFile, read);
  if (!problems.empty()) {
    return FailedSettings<SidecarSettings>(ResultCode::kSettingsInvalid, std::move(problems));
  }
  return { settings, {} };
}

SidecarSettingsReport ReadSidecarSettings(const std::string& aPath)
{
  return ReadSettingsFile<SidecarSettings>(aPath, &ParseSidecarSettings);
}

} // namespace mustardwinch
