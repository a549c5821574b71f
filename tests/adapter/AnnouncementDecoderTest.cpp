#include "platform/AnnouncementDecoder.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

using namespace mustardwinch;
using nlohmann::json;

namespace {

struct AnnouncementFixture
{
  json body = json::parse(R"({
    "address": "10.128.0.9:8080", "born": 1700000000123,
    "info": {"service": "booking", "version": "v1", "zone": "a", "slots": 7},
    "status": {"state": "ready", "seq": 4, "warmupLeftMs": 1500}
  })");
};

} // namespace

TEST_CASE_FIXTURE(AnnouncementFixture, "DecodeAnnouncement, whole body, each field is in its place")
{
  const auto result = platform::DecodeAnnouncement("i-1", body.dump());
  REQUIRE(result.IsOk());
  CHECK(result.Value() == UpstreamAnnouncement{ "i-1",
                                                "booking",
                                                *Address::Parse("10.128.0.9:8080"),
                                                "a",
                                                7,
                                                false,
                                                1'700'000'000'123,
                                                4,
                                                Milliseconds(1'500),
                                                "v1" });
}

TEST_CASE_FIXTURE(AnnouncementFixture, "DecodeAnnouncement, draining, is told apart from ready")
{
  body["status"]["state"] = "draining";
  CHECK(platform::DecodeAnnouncement("i-1", body.dump()).Value().draining);
}

TEST_CASE_FIXTURE(AnnouncementFixture, "DecodeAnnouncement, other writers, name no upstream")
{
  struct Row
  {
    const char* pointer;
    json value;
  };
  const std::vector<Row> rows{
    { "/address", nullptr },
    { "/address", "somewhere" },
    { "/address", 5 },
    { "/info/service", nullptr },
    { "/info/service", 5 },
    { "/info/slots", "7" },
    { "/info/zone", 1 },
    { "/status/state", "asleep" },
    { "/status/state", nullptr },
    { "/status/seq", "4" },
    { "/status/seq", 4.5 },
    { "/status", nullptr },
    { "/info", json::array() },
    { "/born", "yesterday" },
    { "/born", 1.5 },
    { "/status/warmupLeftMs", "long" },
  };
  for (const Row& it : rows) {
    json broken = body;
    broken[json::json_pointer(it.pointer)] = it.value;
    CAPTURE(std::string(it.pointer));
    CHECK_FALSE(platform::DecodeAnnouncement("i-1", broken.dump()).IsOk());
  }
  for (const char* it : { "", "{", "[]", "5", "\xff\xfe", "null" }) {
    CHECK_FALSE(platform::DecodeAnnouncement("i-1", it).IsOk());
  }
  CHECK_FALSE(platform::DecodeAnnouncement("", body.dump()).IsOk());
}

TEST_CASE("DecodeAnnouncePath, calls of upstreams, instance and kind")
{
  CHECK(platform::DecodeAnnouncePath("i-1/heartbeat").Value() ==
        platform::AnnouncePath{ "i-1", false });
  CHECK(platform::DecodeAnnouncePath("i-1/deregister").Value() ==
        platform::AnnouncePath{ "i-1", true });
  for (const char* it : { "", "i-1", "/heartbeat", "i-1/", "i-1/other", "i-1/heartbeat/x" }) {
    CHECK_FALSE(platform::DecodeAnnouncePath(it).IsOk());
  }
}
