#include "sidecar/SidecarSettingsReport.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

struct SettingsFixture
{
  std::string text = R"(vm_name: "vm-1"
region: "north"
failure_domain: "a"
service: "booking"
listen:
  link: "10.0.0.1:7000"
  callers: "10.0.0.1:7001"
  readiness: "10.0.0.1:7002"
  control: "10.0.0.1:7003"
  metrics: "10.0.0.1:7004"
platform: "10.0.0.9:80"
stop_grace_s: 6
retries:
  ratio: 0.2
  slack: 62
  window_s: 10
rates:
  slack: 20
  overrun: 0.1
  window_s: 2.5
revocation:
  strict: true
  bound_ms: 4000
)";

  /** Replaces the first occurrence of aOld. */
  void Edit(const std::string& aOld, const std::string& aNew)
  {
    text.replace(text.find(aOld), aOld.size(), aNew);
  }
};

} // namespace

TEST_CASE_FIXTURE(SettingsFixture, "SidecarSettings, complete file, is read")
{
  const auto report = ParseSidecarSettings(text, "node.yaml");
  REQUIRE(report.settings.IsOk());
  CHECK(report.settings.Value().stopGrace == Seconds(6));
  CHECK(report.settings.Value().retries == RetrySettings{ 0.2, 62, Seconds(10) });
  CHECK(report.settings.Value().rates == RateSettings{ 20, 0.1, Milliseconds(2'500) });
  CHECK(report.settings.Value().revocation == RevocationSettings{ true, Milliseconds(4'000) });
  CHECK(report.settings.Value().link == *Address::Parse("10.0.0.1:7000"));
}

TEST_CASE_FIXTURE(SettingsFixture,
                  "SidecarSettings, invalid fields, each is reported with its line")
{
  Edit("platform: \"10.0.0.9:80\"", "platform: \"nowhere\"");
  Edit("ratio: 0.2", "ratio: 7");
  Edit("region:", "regoin:");
  Edit("bound_ms: 4000", "bound_ms: 4");
  const auto report = ParseSidecarSettings(text, "node.yaml");
  REQUIRE_FALSE(report.settings.IsOk());
  std::string all;
  for (const SettingsProblem& it : report.problems) {
    all += it.ToString() + "\n";
  }
  CHECK(all.find("node.yaml:11: field 'platform'") != std::string::npos);
  CHECK(all.find("node.yaml:14: field 'retries.ratio'") != std::string::npos);
  CHECK(all.find("field 'revocation.bound_ms'") != std::string::npos);
  CHECK(all.find("regoin") != std::string::npos);
}

TEST_CASE_FIXTURE(SettingsFixture, "SidecarSettings, missing file, reported as unreadable")
{
  const auto report = ReadSidecarSettings("/nonexistent/node.yaml");
  CHECK(report.settings.Error().code == ResultCode::kSettingsUnreadable);
}
