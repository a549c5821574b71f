#include "limits/SliceBucket.h"

#include "history/RateHistoryCheck.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace mustardwinch;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr Milliseconds kLifetime{ 2000 };

GrantKey Key(std::uint64_t aSequence)
{
  return { { 1, 1 }, 1, aSequence };
}

/** A full bucket with rate 10 per second and burst 20, and the times at which tokens were spent. */
struct FullBucket
{
  SliceBucket bucket{ { 10, 20 }, 20, kStart };
  std::vector<TimePoint> spent;

  std::uint32_t Grant(std::uint64_t aSequence, std::uint32_t aNeed, TimePoint aAt)
  {
    return bucket.Grant(Key(aSequence), aNeed, 0, aAt + kLifetime, aAt);
  }

  void Spend(std::uint32_t aTokens, TimePoint aAt) { spent.insert(spent.end(), aTokens, aAt); }

  bool Holds() const { return !RateHistoryCheck({ { kStart, 10, 20 } }).Check(spent).has_value(); }
};

} // namespace

TEST_CASE_FIXTURE(FullBucket, "SliceBucket, duplicate request, grants once")
{
  CHECK(Grant(1, 5, kStart) == 5);
  CHECK(Grant(1, 5, kStart) == 5);
  CHECK(bucket.Level() == doctest::Approx(15));
  CHECK(bucket.Outstanding() == doctest::Approx(5));
}

TEST_CASE_FIXTURE(FullBucket, "SliceBucket, duplicate return, is credited once")
{
  Grant(1, 5, kStart);
  bucket.Settle(Key(1), 0, 4, kStart);
  bucket.Settle(Key(1), 0, 4, kStart);
  CHECK(bucket.Level() == doctest::Approx(19));
  CHECK(bucket.Outstanding() == 0);
}

TEST_CASE_FIXTURE(FullBucket, "SliceBucket, return after the grant expired, is not credited")
{
  Grant(1, 20, kStart);
  bucket.Settle(Key(1), 0, 20, kStart + kLifetime);
  CHECK(bucket.Level() == doctest::Approx(0));
}

TEST_CASE_FIXTURE(FullBucket,
                  "SliceBucket, grants outstanding, keep tokens from accruing beyond the burst")
{
  Grant(1, 20, kStart);
  bucket.Advance(kStart + Milliseconds(1900));
  CHECK(bucket.Level() == 0);
  bucket.Advance(kStart + kLifetime + Seconds(1));
  CHECK(bucket.Level() == doctest::Approx(10).epsilon(0.01));
}

TEST_CASE_FIXTURE(FullBucket, "SliceBucket, prefetches, leave most of the surplus to others")
{
  CHECK(bucket.Grant(Key(1), 4, 100, kStart + kLifetime, kStart) == 6);
  CHECK(bucket.Level() == doctest::Approx(14));
}

TEST_CASE_FIXTURE(FullBucket, "SliceBucket, a lower burst, drops tokens and adds none")
{
  Grant(1, 10, kStart);
  bucket.SetShare({ 10, 4 }, kStart);
  CHECK(bucket.Level() == 0);
  bucket.SetShare({ 10, 20 }, kStart);
  CHECK(bucket.Level() == 0);
}

TEST_CASE_FIXTURE(FullBucket, "SliceBucket, full again after a restart, exceeds rate and burst")
{
  Spend(Grant(1, 20, kStart), kStart);
  SliceBucket restarted({ 10, 20 }, 20, kStart);
  Spend(restarted.Grant(Key(2), 20, 0, kStart + kLifetime, kStart), kStart);
  CHECK_FALSE(Holds());
}

TEST_CASE_FIXTURE(FullBucket,
                  "SliceBucket, new owner that does not reserve old grants, exceeds rate and burst")
{
  for (bool holds : { false, true }) {
    FullBucket old;
    const std::uint32_t granted = old.Grant(1, 20, kStart);
    // The owner dies. Its successor starts at level 0, and the ingress spends just before expiry.
    SliceBucket next({ 10, 20 }, 0, kStart);
    if (holds) {
      next.Reserve(20, kStart + kLifetime, kStart);
    }
    const TimePoint late = kStart + kLifetime - Milliseconds(1);
    old.Spend(granted, late);
    old.Spend(next.Grant(Key(2), 20, 0, late + kLifetime, late), late);
    CHECK(old.Holds() == holds);
  }
}

TEST_CASE("SliceBucket, grant lifetime counted from receipt, exceeds rate and burst")
{
  for (bool fromSending : { false, true }) {
    FullBucket it;
    // The reply takes three seconds, so for the owner the grant expires before it arrives.
    const std::uint32_t late = it.Grant(1, 20, kStart);
    const TimePoint received = kStart + Seconds(3);
    const TimePoint expiry = (fromSending ? kStart : received) + kLifetime;
    const TimePoint spending = kStart + Milliseconds(4000);
    it.Spend(it.Grant(2, 20, spending), spending);
    if (spending < expiry) {
      it.Spend(late, spending);
    }
    CHECK(it.Holds() == fromSending);
  }
}

TEST_CASE("SliceBucket, random grants, returns, losses and changes, conserves tokens")
{
  const bool held = rc::check([] {
    SliceBucket bucket({ 10, 20 }, 20, kStart);
    TimePoint now = kStart;
    double spent = 0;
    struct Out
    {
      std::uint64_t sequence;
      std::uint32_t tokens;
      TimePoint expiry;
    };
    std::deque<Out> out;
    for (std::uint64_t i = 1; i <= 60; ++i) {
      now += Milliseconds(*rc::gen::inRange(0, 700));
      const auto n = *rc::gen::inRange<std::uint32_t>(0, 12);
      out.push_back({ i, bucket.Grant(Key(i), n, n, now + kLifetime, now), now + kLifetime });
      Out& one = out[*rc::gen::inRange<std::size_t>(0, out.size())];
      const auto used = *rc::gen::inRange<std::uint32_t>(0, one.tokens + 1);
      if (now < one.expiry) {
        spent += used;
        one.tokens -= used;
        const bool back = *rc::gen::arbitrary<bool>();
        bucket.Settle(Key(one.sequence), back ? 0 : one.tokens, back ? one.tokens : 0, now);
        one.tokens = back ? 0 : one.tokens;
      }
      double live = 0;
      for (const Out& it : out) {
        live += now < it.expiry ? it.tokens : 0;
      }
      const double accrued = 10 * std::chrono::duration<double>(now - kStart).count();
      RC_ASSERT(bucket.Level() + bucket.Outstanding() <= 20 + 1e-6);
      RC_ASSERT(bucket.Outstanding() + 1e-6 >= live);
      RC_ASSERT(spent + live + bucket.Level() <= 20 + accrued + 1e-6);
    }
  });
  CHECK(held);
}
