#include "fleet/FleetCodec.h"
#include "sidecar/CallCodec.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

TEST_CASE("FleetCodec, call of a gate, comes back as it was")
{
  GateCall call;
  call.requestId = "id-1";
  call.service = "booking";
  call.request = {
    "POST", "/a/b?c=d", { { "X-A", "1" }, { "X-B", "" } }, std::string("\0\xff", 2)
  };
  call.remaining = Milliseconds(1'234);
  call.latencyTarget = Milliseconds(500);
  call.priority = -2;
  call.organisation = "org";
  call.idempotent = true;
  call.mayWait = true;
  call.bodyBytes = 2;
  call.route = "r";
  call.version = "v2";
  CallMessage message = ToMessage(call);
  message.body = call.request.body; // the link sends it with the call or in parts
  const std::string bytes = EncodeFleetMessage(FleetMessage::kCall, message);
  CHECK(bytes.front() == static_cast<char>(FleetMessage::kCall));
  const auto decoded = DecodeFleetMessage<CallMessage>(std::string_view(bytes).substr(1));
  REQUIRE(decoded.has_value());
  CHECK(FromMessage(*decoded) == call);
}

TEST_CASE("FleetCodec, every cut of a message, is rejected and never read as another")
{
  const std::string bytes =
    EncodeFleetMessage(FleetMessage::kRateVerdict, RateVerdictMessage{ 7'000, 1, 300 });
  for (std::size_t n = 1; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeFleetMessage<RateVerdictMessage>(std::string_view(bytes).substr(1, n - 1)));
  }
}

TEST_CASE("FleetCodec, field of another type, is rejected")
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, std::vector<std::string>{ "a", "b", "c" });
  CHECK_FALSE(DecodeFleetMessage<RateVerdictMessage>(std::string_view(buf.data(), buf.size())));
}
