#include "health/RetryPolicy.h"

#include "HealthFixture.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

struct RetryFixture : HealthFixture
{
  bool Retry(Outcome aOutcome, bool aIdempotent, Milliseconds aLeft = Seconds(5), int aAttempts = 1)
  {
    return policy.MayRetry("booking", aOutcome, aIdempotent, clock.Now() + aLeft, aAttempts);
  }

  RetryPolicy policy{ clock };
};

} // namespace

TEST_CASE_FIXTURE(RetryFixture, "RetryPolicy, each outcome, retries only what cannot run twice")
{
  CHECK(Retry(Outcome::kNotRun, false));
  CHECK(Retry(Outcome::kNotRun, true));
  CHECK(Retry(Outcome::kUnknown, true));
  CHECK_FALSE(Retry(Outcome::kUnknown, false));
  CHECK_FALSE(Retry(Outcome::kRan, true));
}

TEST_CASE_FIXTURE(RetryFixture, "RetryPolicy, deadline passed or too near, no retry")
{
  CHECK_FALSE(Retry(Outcome::kNotRun, true, Milliseconds(0)));
  CHECK_FALSE(Retry(Outcome::kNotRun, true, Milliseconds(-10)));
}

TEST_CASE_FIXTURE(RetryFixture, "RetryPolicy, all requests fail, retries stay near a tenth")
{
  constexpr int kRequests = 5000;
  int unlimitedRetries = 0;
  int retries = 0;
  for (int i = 0; i < kRequests; ++i) {
    policy.OnRequest("booking");
    clock.Advance(Milliseconds(10));
    for (int attempt = 1; attempt < 4; ++attempt) {
      ++unlimitedRetries; // without a budget every retry is made
      retries += Retry(Outcome::kUnknown, true, Seconds(5), attempt) ? 1 : 0;
    }
  }
  CHECK(unlimitedRetries == 3 * kRequests);
  CHECK(retries <= kRequests * 0.1 + 50 + 25); // a tenth, 1 token/s over 50 s, initial tokens
  CHECK(retries >= kRequests * 0.1);
}

TEST_CASE_FIXTURE(RetryFixture, "RetryPolicy, hedge, only idempotent small requests after p95")
{
  CHECK_FALSE(policy.HedgeDelay("booking", true, 0));
  for (int i = 1; i <= 200; ++i) {
    policy.OnAnswer("booking", Milliseconds(i));
  }
  const auto delay = policy.HedgeDelay("booking", true, 100);
  REQUIRE(delay);
  CHECK(*delay > Milliseconds(170));
  CHECK(*delay < Milliseconds(200));
  CHECK_FALSE(policy.HedgeDelay("booking", false, 100));
  CHECK_FALSE(policy.HedgeDelay("booking", true, 1'000'000));
  CHECK_FALSE(policy.MayHedge("booking", clock.Now()));
}
