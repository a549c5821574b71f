#include "sidecar/CallCodec.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

struct ResultFromGate
{
  ResultFromGate()
  {
    message.outcome = static_cast<std::uint8_t>(CallOutcome::kAnswered);
    message.reached = true;
  }

  CallResultMessage message;
};

} // namespace

// Guards against a caller being told "not run" by the status that an upstream chose, while gates of
// an older version are in the fleet.
TEST_CASE_FIXTURE(ResultFromGate,
                  "CallCodec, answer of an older gate with the status of a refusal, may have run")
{
  for (const unsigned status : { 408U, 421U, 429U, 503U }) {
    message.status = status;
    const GateCallResult result = FromMessage(message);
    CHECK(result.outcome == CallOutcome::kFailed);
    CHECK(result.reason == ResultCode::kUpstreamFailed);
    CHECK(result.reached);
  }
}

TEST_CASE_FIXTURE(ResultFromGate,
                  "CallCodec, outcome that this version does not know, may have run")
{
  message.outcome = 200;
  message.reached = false;
  const GateCallResult result = FromMessage(message);
  CHECK(result.outcome == CallOutcome::kFailed);
  CHECK(result.reached);
}

// The number of a missing outcome is that of an answer; callers would get a status of 0.
TEST_CASE("CallCodec, result without an outcome and a status, may have run")
{
  const GateCallResult result = FromMessage(CallResultMessage{});
  CHECK(result.outcome == CallOutcome::kFailed);
  CHECK(result.reached);
}

TEST_CASE_FIXTURE(ResultFromGate, "CallCodec, ordinary answer, is passed on as it is")
{
  message.status = 500;
  message.body = "failed";
  const GateCallResult result = FromMessage(message);
  CHECK(result.outcome == CallOutcome::kAnswered);
  CHECK(result.answer.status == 500);
  CHECK(result.answer.body == "failed");
}
