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
