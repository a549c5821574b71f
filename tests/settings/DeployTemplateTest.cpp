#include "sidecar/SidecarSettingsReport.h"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>

using namespace mustardwinch;

namespace {

/** Renders deploy/node.yaml.tpl as the platform does: values and sections, no lists. */
struct DeployTemplateFixture
{
  DeployTemplateFixture()
  {
    std::ifstream file(MW_DEPLOY_DIR "/node.yaml.tpl");
    std::ostringstream content;
    content << file.rdbuf();
    text = content.str();
    REQUIRE_FALSE(text.empty());
  }

  /** Optional fields of the platform's settings, which a deployment may lack. */
  std::set<std::string> Optional() const
  {
    std::set<std::string> names;
    for (const auto& [name, value] : values) {
      if (name.starts_with("bounds.") || name.starts_with("limits.")) {
        names.insert(name);
      }
    }
    return names;
  }

  std::string Render(const std::set<std::string>& aMissing) const
  {
    std::string out;
    std::size_t at = 0;
    Render(aMissing, true, at, out);
    return out;
  }

  SidecarSettingsReport Parse(const std::set<std::string>& aMissing) const
  {
    const std::string rendered = Render(aMissing);
    INFO(rendered);
    const auto report = ParseSidecarSettings(rendered, "node.yaml");
    REQUIRE(report.settings.IsOk());
    return report;
  }

  std::string text;
  std::map<std::string, std::string> values{
    { "node", "vm-1" },
    { "region", "north" },
    { "zone", "a" },
    { "service", "booking" },
    { "ip", "10.0.0.1" },
    { "internalPorts.0", "7000" },
    { "internalPorts.1", "7015" },
    { "listen.outbound", "10.0.0.1:7100" },
    { "listen.readiness", "10.0.0.1:7101" },
    { "listen.control", "10.0.0.1:7102" },
    { "platform.address", "10.0.0.9:80" },
    { "limits.memoryMb", "160" },
    { "limits.maxFds", "4100" },
    { "bounds.graceS", "6" },
    { "bounds.retryBudgetRatio", "0.2" },
    { "bounds.budgetSlack", "62" },
    { "bounds.retryWindowS", "10" },
    { "bounds.coldOver", "1.5" },
    { "bounds.coldSlack", "0" },
    { "bounds.quotaSlack", "20" },
    { "bounds.quotaOver", "0.1" },
    { "bounds.quotaWindowS", "5" },
    { "bounds.strictRevocation", "true" },
    { "bounds.revokeMs", "5000" },
    { "bounds.exposeShare", "0.1" },
    { "bounds.exposeSlack", "50" },
    { "bounds.rollbackMs", "4000" },
  };

private:
  /** Renders up to the end of the section that begins at aAt. */
  void Render(const std::set<std::string>& aMissing,
              bool aShown,
              std::size_t& aAt,
              std::string& aOut) const
  {
    while (aAt < text.size()) {
      const std::size_t open = text.find("{{", aAt);
      if (aShown) {
        aOut += text.substr(aAt, open == std::string::npos ? open : open - aAt);
      }
      if (open == std::string::npos) {
        aAt = text.size();
        return;
      }
      const std::size_t close = text.find("}}", open);
      std::string tag = text.substr(open + 2, close - open - 2);
      aAt = close + 2;
      if (tag.front() == '/') {
        return;
      }
      if (tag.front() == '#' || tag.front() == '^') {
        const bool wanted = tag.front() == '#';
        tag.erase(0, 1);
        const bool isTrue = aMissing.count(tag) == 0 && Value(tag) != "false";
        Render(aMissing, aShown && isTrue == wanted, aAt, aOut);
      } else if (aShown && aMissing.count(tag) == 0) {
        aOut += Value(tag);
      }
    }
  }

  const std::string& Value(const std::string& aName) const
  {
    const auto it = values.find(aName);
    INFO(aName);
    REQUIRE(it != values.end());
    return it->second;
  }
};

} // namespace

TEST_CASE_FIXTURE(DeployTemplateFixture, "Deploy template, all fields present, are passed on")
{
  const SidecarSettings settings = Parse({}).settings.Value();
  CHECK(settings.stopGrace == Seconds(6));
  CHECK(settings.retries == RetrySettings{ 0.2, 62, Seconds(10) });
  CHECK(settings.cold.boundRatio == 1.5);
  CHECK(settings.rates == RateSettings{ 20, 0.1, Milliseconds(5'000) });
  CHECK(settings.revocation == RevocationSettings{ true, Milliseconds(5'000) });
  CHECK(settings.resources == ResourceSettings{ 160, 4'100 });
  CHECK(settings.rollouts == RolloutSettings{ true, 0.1, 50, Milliseconds(4'000) });
  CHECK_FALSE(settings.placement.costAware);
}

// A deployment without bounds for cold upstreams rendered "bound_ratio: " and no process started.
TEST_CASE_FIXTURE(DeployTemplateFixture, "Deploy template, any subset of bounds missing, is valid")
{
  const std::set<std::string> optional = Optional();
  const std::vector<std::string> names(optional.begin(), optional.end());
  for (std::uint32_t subset = 0; subset < (1U << names.size()); ++subset) {
    if (names.size() > 12 && subset % 7 != 0 && __builtin_popcount(subset) > 2) {
      continue; // each pair, and every seventh larger subset
    }
    std::set<std::string> missing;
    for (std::size_t i = 0; i < names.size(); ++i) {
      if ((subset >> i & 1U) != 0) {
        missing.insert(names[i]);
      }
    }
    Parse(missing);
  }
}

TEST_CASE_FIXTURE(DeployTemplateFixture, "Deploy template, features without their bounds, are off")
{
  const SidecarSettings settings = Parse(Optional()).settings.Value();
  CHECK_FALSE(settings.rollouts.enabled);
  CHECK_FALSE(settings.revocation.strict);
  CHECK(settings.placement.costAware);
  CHECK(settings.resources == ResourceSettings{});
}
