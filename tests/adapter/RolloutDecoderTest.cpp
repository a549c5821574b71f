#include "platform/RolloutDecoder.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using nlohmann::json;

namespace {

struct RolloutDecoderFixture
{
  StoredRollout Decode() const
  {
    StoredObject object;
    object.name = "booking";
    object.revision = 7;
    object.createRevision = created;
    object.spec = spec;
    object.status = status;
    return platform::DecodeRollout(object);
  }

  json spec{ { "service", "booking" }, { "targetVersion", "v2" }, { "durationS", 1.5 } };
  json status;
  std::uint64_t created = 3;
};

} // namespace

TEST_CASE_FIXTURE(RolloutDecoderFixture, "DecodeRollout, whole order, is read")
{
  const StoredRollout rollout = Decode();
  CHECK(rollout.problem.empty());
  CHECK(rollout.order.service == "booking");
  CHECK(rollout.order.target == "v2");
  CHECK(rollout.order.duration == Milliseconds(1'500));
  CHECK(rollout.revision == 7);
  CHECK_FALSE(rollout.State());
}

TEST_CASE_FIXTURE(RolloutDecoderFixture,
                  "DecodeRollout, status of its own, is told from an earlier one")
{
  const RolloutStatus own{ RolloutState::kRolledBack, "v2", "v1", "slow", Decode().order.id };
  status = platform::EncodeRolloutStatus(own);
  CHECK(status["state"] == "rolled_back");
  CHECK(status["targetVersion"] == "v2");
  CHECK(Decode().status == own);
  CHECK(Decode().State() == RolloutState::kRolledBack);
  created = 9; // the object was removed and created again
  CHECK_FALSE(Decode().State());
}

TEST_CASE_FIXTURE(RolloutDecoderFixture, "DecodeRollout, malformed orders, each has a problem")
{
  const std::vector<json> specs{
    json(),
    json::array(),
    { { "service", "booking" } },
    { { "service", "other" }, { "targetVersion", "v2" }, { "durationS", 5 } },
    { { "service", "booking" }, { "targetVersion", "" }, { "durationS", 5 } },
    { { "service", "booking" }, { "targetVersion", 2 }, { "durationS", 5 } },
    { { "service", "booking" }, { "targetVersion", "v2" }, { "durationS", 0 } },
    { { "service", "booking" }, { "targetVersion", "v2" }, { "durationS", "5" } },
    { { "service", "booking" }, { "targetVersion", "v2" }, { "durationS", 1e9 } },
  };
  for (const json& it : specs) {
    spec = it;
    CAPTURE(it.dump());
    CHECK_FALSE(Decode().problem.empty());
  }
}

TEST_CASE_FIXTURE(RolloutDecoderFixture, "DecodeRollout, status of another writer, is left out")
{
  for (const json& it : { json("running"), json{ { "state", 3 } }, json::array() }) {
    status = it;
    CHECK_FALSE(Decode().status);
  }
}
