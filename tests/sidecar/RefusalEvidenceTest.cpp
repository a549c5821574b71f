#include "sidecar/SidecarFleet.h"

using namespace mustardwinch;
using namespace mustardwinch::test;

namespace {

struct RefusingFleet : SidecarFleet
{
  /** Sends a request that must not be repeated while all upstreams run requests and answer them
   * with aStatus. */
  HttpAnswer CallAnswered(unsigned aStatus)
  {
    for (Member& it : members) {
      it.upstream->ranStatus = aStatus;
    }
    return Call(0, "POST", "/unsafe/x");
  }

  /** Sends a request that must not be repeated, and does not wait for its answer. */
  std::shared_ptr<std::optional<HttpAnswer>> CallLater(const std::string& aBody)
  {
    const auto answer = std::make_shared<std::optional<HttpAnswer>>();
    const auto channel = std::make_shared<HttpChannel>(loop);
    const HttpRequest request{ "POST",
                               "/unsafe/x",
                               { { "Host", "shop.example" },
                                 { "X-Request-Id", "later-" + std::to_string(++calls) },
                                 { "X-Request-Timeout-Ms", "2000" },
                                 { "X-Api-Key", "k-org" } },
                               aBody };
    channel->Connect(members[0].settings.callers, [=](const boost::system::error_code& aError) {
      REQUIRE_FALSE(aError);
      channel->Exchange(FormatRequest(request, "h"), 1 << 20, false, nullptr, [=](auto aResult) {
        *answer = aResult.error ? HttpAnswer{} : aResult.answer;
        channel->Close();
      });
    });
    return answer;
  }

  /** Leaves one upstream in use, on another VM than the callers. */
  void LeaveOneUpstream()
  {
    CHECK(Announce(members[0], "draining") == 200);
    CHECK(Announce(members[2], "draining") == 200);
    RunUntil([] { return false; }, Milliseconds(200)); // the nodes tell each other
  }

  std::size_t Runs() const
  {
    std::size_t n = 0;
    for (const Member& it : members) {
      n += it.upstream->requests.size();
    }
    return n;
  }
};

} // namespace

// Guards against telling callers "not run" of a request that its upstream ran and answered with
// such a status itself.
TEST_CASE_FIXTURE(RefusingFleet,
                  "Refusal, status that an upstream chose for a request it ran, is not passed on")
{
  for (const unsigned status : { 408U, 421U, 429U, 503U }) {
    CAPTURE(status);
    const std::size_t before = Runs();
    CHECK(CallAnswered(status).status == 502);
    CHECK(Runs() == before + 1);
  }
}

// Guards both ways of telling the end of a call whose link is lost: its upstream has the request,
// or the gate was still waiting for a place and its body was never sent.
TEST_CASE_FIXTURE(
  RefusingFleet,
  "Refusal, gate is lost, not run is told only of a request whose body was not sent")
{
  LeaveOneUpstream();
  members[1].upstream->hang = true;
  std::vector<std::shared_ptr<std::optional<HttpAnswer>>> sent;
  for (std::size_t i = 0; i < 4; ++i) { // all slots
    sent.push_back(CallLater("small"));
  }
  REQUIRE(RunUntil([&] { return Runs() == 4; }));
  const auto waiting = CallLater(std::string(20'000, 'x'));
  RunUntil([] { return false; }, Milliseconds(60));
  REQUIRE_FALSE(*waiting);
  Kill(members[1]);
  REQUIRE(RunUntil([&] { return waiting->has_value(); }, Seconds(3)));
  CHECK(waiting->value().status == 503);
  for (const auto& it : sent) {
    REQUIRE(RunUntil([&] { return it->has_value(); }, Seconds(3)));
    CHECK(it->value().status == 502);
  }
  CHECK(Runs() == 4);
}
