#include "fleet/PullDecision.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

struct PullFixture
{
  bool Hear(std::uint64_t aTheirs, bool aNear)
  {
    return pull.ShouldPull(now, { 0, own }, { 0, aTheirs }, aNear);
  }

  TimePoint now{ Seconds(1'000) };
  std::uint64_t own = 5;
  PullDecision pull;
};

} // namespace

TEST_CASE_FIXTURE(PullFixture,
                  "PullDecision, thirty peers announce a change, none is asked at once")
{
  for (int i = 0; i < 30; ++i) {
    CHECK_FALSE(Hear(6, i % 4 == 0));
  }
}

TEST_CASE_FIXTURE(PullFixture, "PullDecision, watch brings nothing, one near peer is asked once")
{
  Hear(6, true);
  now += Milliseconds(300);
  CHECK_FALSE(Hear(6, false));
  CHECK(Hear(6, true));
  CHECK_FALSE(Hear(6, true));
}

TEST_CASE_FIXTURE(PullFixture,
                  "PullDecision, no near peer has it, a far one is asked before two seconds")
{
  Hear(6, false);
  now += Milliseconds(1'400);
  CHECK(Hear(6, false));
}

TEST_CASE_FIXTURE(PullFixture, "PullDecision, fetch brought nothing, asks again")
{
  Hear(6, true);
  now += Milliseconds(300);
  CHECK(Hear(6, true));
  now += Milliseconds(700);
  CHECK(Hear(6, true));
}

TEST_CASE_FIXTURE(PullFixture, "PullDecision, peer is behind, is never asked")
{
  now += Seconds(10);
  CHECK_FALSE(Hear(5, true));
  CHECK_FALSE(Hear(4, true));
}

// Guards against a state of the lost history that is never replaced, since its revision is greater.
TEST_CASE_FIXTURE(PullFixture, "PullDecision, smaller revision of a later epoch, is fetched")
{
  const StorePosition held{ 1, 50 };
  const StorePosition theirs{ 2, 12 };
  CHECK_FALSE(pull.ShouldPull(now, theirs, held, true));
  pull.ShouldPull(now, held, theirs, true);
  now += Seconds(1);
  CHECK(pull.ShouldPull(now, held, theirs, true));
}
