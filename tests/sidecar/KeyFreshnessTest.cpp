#include "sidecar/KeyFreshness.h"
#include "store/RewriteTime.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

constexpr TimePoint kBegin{ Seconds(1'000) };

struct StrictFreshness
{
  RevocationSettings settings{ true, Milliseconds(5'000) };
  KeyFreshness freshness{ settings };
};

} // namespace

TEST_CASE_FIXTURE(StrictFreshness, "KeyFreshness, never confirmed, no key is accepted")
{
  CHECK_FALSE(freshness.MayAcceptKeys(kBegin));
  CHECK(freshness.ShouldAskPeers(kBegin));
  CHECK(freshness.ShouldAskStore(kBegin));
}

TEST_CASE_FIXTURE(StrictFreshness,
                  "KeyFreshness, just before and after the bound, accepts only before")
{
  freshness.Confirm(kBegin);
  CHECK(freshness.MayAcceptKeys(kBegin));
  CHECK(freshness.MayAcceptKeys(kBegin + Milliseconds(4'700)));
  CHECK_FALSE(freshness.MayAcceptKeys(kBegin + Milliseconds(4'999)));
  CHECK_FALSE(freshness.MayAcceptKeys(kBegin + Milliseconds(5'001)));
}

TEST_CASE_FIXTURE(StrictFreshness, "KeyFreshness, confirmed again, accepts keys at once")
{
  freshness.Confirm(kBegin);
  REQUIRE_FALSE(freshness.MayAcceptKeys(kBegin + Seconds(60)));
  freshness.Confirm(kBegin + Seconds(59));
  CHECK(freshness.MayAcceptKeys(kBegin + Seconds(60)));
}

TEST_CASE_FIXTURE(StrictFreshness, "KeyFreshness, older confirmation arrives late, changes nothing")
{
  freshness.Confirm(kBegin + Seconds(10));
  freshness.Confirm(kBegin);
  CHECK(freshness.ConfirmedAt() == kBegin + Seconds(10));
}

TEST_CASE_FIXTURE(StrictFreshness,
                  "KeyFreshness, ageing, asks peers before the store, both in time")
{
  freshness.Confirm(kBegin);
  CHECK_FALSE(freshness.ShouldAskPeers(kBegin + Milliseconds(1'500)));
  CHECK(freshness.ShouldAskPeers(kBegin + Milliseconds(2'000)));
  CHECK_FALSE(freshness.ShouldAskStore(kBegin + Milliseconds(2'000)));
  CHECK(freshness.ShouldAskStore(kBegin + Milliseconds(3'000)));
}

TEST_CASE("KeyFreshness, revocation not strict, keys are accepted without confirmation")
{
  const KeyFreshness freshness{ RevocationSettings{} };
  CHECK(freshness.MayAcceptKeys(kBegin));
  CHECK_FALSE(freshness.ShouldAskPeers(kBegin));
  CHECK_FALSE(freshness.ShouldAskStore(kBegin));
}

// Guards against a key whose withdrawal the store has lost: the copy confirms an older
// configuration.
TEST_CASE_FIXTURE(StrictFreshness,
                  "KeyFreshness, store back from a copy, confirms only once rewritten")
{
  freshness.Confirm(kBegin);
  freshness.OnHistoryReplaced(kBegin + Seconds(1));
  freshness.Confirm(kBegin + Seconds(3));
  CHECK(freshness.ConfirmedAt() == kBegin);
  freshness.OnRewritten();
  freshness.Confirm(kBegin + Seconds(3));
  CHECK(freshness.ConfirmedAt() == kBegin + Seconds(3));
}

TEST_CASE_FIXTURE(StrictFreshness,
                  "KeyFreshness, store back and never rewritten, confirms in the end")
{
  freshness.OnHistoryReplaced(kBegin);
  freshness.Confirm(kBegin + kRewriteTime - Milliseconds(1));
  CHECK_FALSE(freshness.ConfirmedAt());
  freshness.Confirm(kBegin + kRewriteTime);
  CHECK(freshness.ConfirmedAt() == kBegin + kRewriteTime);
}
