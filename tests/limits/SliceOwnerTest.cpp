#include "limits/SliceOwner.h"
#include "FakeLeases.h"

#include <doctest/doctest.h>

#include <array>

using namespace mustardwinch;

namespace {

constexpr TimePoint kStart{ Seconds(1000) };

/** A node that competes for one slice; its organisation has rate 10 per second and burst 20. */
class Contender
{
public:
  SliceOwner owner;
  bool preferred = true;
  std::function<bool(const LeaseHolder&)> isTerminated = [](const LeaseHolder&) { return false; };

  Contender(FakeLeases& aLeases,
            std::string aName,
            std::uint64_t aIncarnation = 1,
            LeaseTerms aTerms = {})
    : owner(0, 0, 1, { std::move(aName), { 1, 1 }, aIncarnation }, aTerms)
    , mStore(aLeases.StoreFor([] { return true; }))
  {
    Configure(10, 20, kStart);
  }

  void Configure(double aRate, std::uint32_t aBurst, TimePoint aNow)
  {
    owner.ApplyConfig({ { "verge", {}, aRate, aBurst } }, aNow);
  }

  LeaseAction Next(TimePoint aNow) { return owner.Next({ preferred, isTerminated }, aNow); }

  LeaseChange Perform(const LeaseAction& aAction, TimePoint aNow)
  {
    if (std::holds_alternative<LeaseRead>(aAction)) {
      return owner.OnRead(mStore.read("lease"), aNow);
    }
    return owner.OnWritten(mStore.write("lease", std::get<LeaseWrite>(aAction)), aNow);
  }

  /** Performs all due actions and returns the last change. */
  LeaseChange Settle(TimePoint aNow)
  {
    LeaseChange change = LeaseChange::kNone;
    for (int i = 0; i < 4; ++i) {
      const LeaseAction action = Next(aNow);
      if (std::holds_alternative<std::monostate>(action)) {
        break;
      }
      const LeaseChange one = Perform(action, aNow);
      change = one == LeaseChange::kNone ? change : one;
    }
    return change;
  }

  /** Calls Settle() every second from aFrom to aTo, like the control thread. */
  void SettleUntil(TimePoint aFrom, TimePoint aTo)
  {
    for (TimePoint it = aFrom; it <= aTo; it += Seconds(1)) {
      Settle(it);
    }
  }

  /** Tokens granted for a request of aNeed; 0 if this node may not grant. */
  std::uint32_t Take(std::uint32_t aNeed, TimePoint aNow)
  {
    GrantRequest request;
    request.key.sequence = ++mSequence;
    request.organisation = "verge";
    request.need = aNeed;
    return owner.Handle(request, aNow).tokens;
  }

  bool Holds() const { return owner.Lease().IsHolding(); }

private:
  LeaseStore mStore;
  std::uint64_t mSequence = 0;
};

/** A tail share and the part of a burst of 20 that it keeps. */
struct TailCase
{
  unsigned eighths = 0;
  std::uint32_t tokens = 0;
};

constexpr std::array kTailCases{
  TailCase{ 1, 3 }, TailCase{ 4, 10 }, TailCase{ 6, 15 }, TailCase{ 7, 18 }, TailCase{ 8, 20 },
};

LeaseTerms TermsWith(unsigned aEighths)
{
  LeaseTerms terms;
  terms.tailEighths = aEighths;
  return terms;
}

struct Contenders
{
  FakeLeases leases;
  Contender first{ leases, "vm1" };
  Contender second{ leases, "vm2" };
};

} // namespace

TEST_CASE("SliceOwner, two concurrent writes, both acquire only if the version is not checked")
{
  for (bool checksVersion : { false, true }) {
    Contenders it;
    it.leases.checksVersion = checksVersion;
    // Both read that there is no lease, then both write it.
    it.first.Perform(it.first.Next(kStart), kStart);
    it.second.Perform(it.second.Next(kStart), kStart);
    const LeaseAction one = it.first.Next(kStart);
    const LeaseAction two = it.second.Next(kStart);
    it.first.Perform(one, kStart);
    it.second.Perform(two, kStart);
    const TimePoint later = kStart + Seconds(2);
    const std::uint32_t both = it.first.Take(100, later) + it.second.Take(100, later);
    CAPTURE(checksVersion);
    CHECK((both > 20) == !checksVersion);
  }
}

TEST_CASE_FIXTURE(Contenders, "SliceOwner, new lease, starts without tokens")
{
  CHECK(first.Settle(kStart) == LeaseChange::kAcquired);
  CHECK(first.Take(20, kStart) == 0);
  CHECK(first.Take(20, kStart + Seconds(1)) == 9); // a clock may run fast, so a little less accrues
}

TEST_CASE_FIXTURE(Contenders,
                  "SliceOwner, lost reply to the acquiring write, recognises its own write")
{
  leases.loseReplies = 1;
  first.Settle(kStart);
  CHECK_FALSE(first.Holds());
  CHECK(first.Settle(kStart + Seconds(2)) == LeaseChange::kAcquired);
  // The term counts from before the write whose reply was lost.
  CHECK(first.owner.Lease().FullEnd() < kStart + Seconds(10));
}

TEST_CASE("SliceOwner, holder paused beyond its terms, grants the tail share and then nothing")
{
  for (const TailCase& it : kTailCases) {
    CAPTURE(it.eighths);
    FakeLeases leases;
    Contender first(leases, "vm1", 1, TermsWith(it.eighths));
    first.Settle(kStart);
    CHECK(first.Take(100, kStart + Seconds(9)) == it.tokens); // the short term has ended
    CHECK(first.owner.TermAt(kStart + Seconds(9)) == SliceStatus::Term::kTail);
    const TimePoint beyond = kStart + LeaseTerms().tailTerm;
    CHECK(first.Take(100, beyond) == 0);
    CHECK(first.owner.Handle({ {}, "verge", 0, 1, 0, {} }, beyond).kind ==
          GrantReply::Kind::kNotOwner);
  }
}

TEST_CASE("SliceOwner, holder silent, successor waits for the term and gets what the tail leaves")
{
  for (const TailCase& it : kTailCases) {
    CAPTURE(it.eighths);
    FakeLeases leases;
    Contender first(leases, "vm1", 1, TermsWith(it.eighths));
    // The successor's own terms differ; the old holder's terms apply.
    Contender second(leases, "vm2", 1, TermsWith(9 - it.eighths));
    first.Settle(kStart);
    second.SettleUntil(kStart, kStart + Seconds(9));
    CHECK_FALSE(second.Holds());
    second.SettleUntil(kStart + Seconds(10), kStart + Seconds(12));
    REQUIRE(second.Holds());
    const TimePoint later = kStart + Seconds(60);
    second.SettleUntil(kStart + Seconds(13), later);
    CHECK(second.Take(100, later) == 20 - it.tokens);
    CHECK(first.Take(100, later) == it.tokens);
  }
}

TEST_CASE_FIXTURE(Contenders, "SliceOwner, holder back after it was superseded, ends its tail")
{
  first.Settle(kStart);
  second.SettleUntil(kStart, kStart + Seconds(12));
  CHECK(first.Settle(kStart + Seconds(13)) == LeaseChange::kLost);
  CHECK(first.Take(100, kStart + Seconds(13)) == 0);
  second.SettleUntil(kStart + Seconds(14), kStart + Seconds(40));
  CHECK(second.Take(100, kStart + Seconds(40)) == 20);
}

TEST_CASE_FIXTURE(
  Contenders,
  "SliceOwner, holder known terminated, successor has the whole share after its grants expire")
{
  first.Settle(kStart);
  second.isTerminated = [](const LeaseHolder& aHolder) { return aHolder.name == "vm1"; };
  CHECK(second.Settle(kStart + Seconds(5)) == LeaseChange::kAcquired);
  // Grants of the first holder may still be spent.
  CHECK(second.Take(100, kStart + Seconds(7)) == 0);
  second.SettleUntil(kStart + Seconds(8), kStart + Seconds(15));
  CHECK(second.Take(100, kStart + Seconds(15)) == 20);
}

TEST_CASE_FIXTURE(Contenders, "SliceOwner, graceful release, carries levels and outstanding grants")
{
  first.Settle(kStart);
  const TimePoint now = kStart + Seconds(3);
  CHECK(first.Take(5, now) == 5);
  first.owner.BeginRelease(now);
  CHECK(first.Take(1, now) == 0);
  first.preferred = false;
  CHECK(first.Settle(now) == LeaseChange::kReleased);
  CHECK(second.Settle(now) == LeaseChange::kAcquired);
  CHECK(second.Take(100, now) == 15);
}

TEST_CASE_FIXTURE(Contenders,
                  "SliceOwner, release that takes effect late, grants nothing meanwhile")
{
  first.Settle(kStart);
  const TimePoint now = kStart + Seconds(3);
  first.preferred = false;
  first.owner.BeginRelease(now);
  const LeaseAction release = first.Next(now);
  first.owner.OnWritten(ResultCode::kPlatformUnavailable, now); // the write takes effect later
  CHECK(first.Take(1, now) == 0);
  const LeaseAction read = first.Next(now + Seconds(2));
  first.Perform(read, now + Seconds(2)); // the release has not taken effect yet
  CHECK(first.Take(1, now + Seconds(2)) == 0);
  const LeaseWrite& late = std::get<LeaseWrite>(release);
  (void)leases.StoreFor([] { return true; }).write("lease", late);
  CHECK(first.Settle(now + Seconds(4)) == LeaseChange::kReleased);
  CHECK(second.Settle(now + Seconds(4)) == LeaseChange::kAcquired);
  CHECK(second.Take(100, now + Seconds(4)) == 20);
}

TEST_CASE_FIXTURE(Contenders,
                  "SliceOwner, released lease read by two nodes, passes its levels on once")
{
  first.Settle(kStart);
  first.owner.BeginRelease(kStart + Seconds(3));
  first.preferred = false;
  first.Settle(kStart + Seconds(3));
  Contender third(leases, "vm3");
  const TimePoint now = kStart + Seconds(3);
  second.Perform(second.Next(now), now);
  third.Perform(third.Next(now), now);
  const LeaseAction two = second.Next(now);
  const LeaseAction three = third.Next(now);
  second.Perform(two, now);
  third.Perform(three, now);
  CHECK(second.Take(100, now) + third.Take(100, now) == 20);
}

TEST_CASE_FIXTURE(Contenders, "SliceOwner, organisation deleted and recreated, gets no new burst")
{
  first.Settle(kStart);
  const TimePoint now = kStart + Seconds(5);
  CHECK(first.Take(100, now) == 20);
  first.owner.ApplyConfig({}, now);
  CHECK(first.Take(100, now + Milliseconds(100)) == 0);
  first.Configure(10, 20, now + Milliseconds(200));
  CHECK(first.Take(100, now + Milliseconds(200)) <= 2);
}

TEST_CASE_FIXTURE(Contenders, "SliceOwner, rate raised, applies only from the time of the change")
{
  first.Settle(kStart);
  const TimePoint now = kStart + Seconds(1);
  first.Configure(100, 100, now);
  CHECK(first.Take(100, now) == 9);
  first.owner.Settle({ {}, "verge", 0, { { 1, 0, 0 } } }, now);
  CHECK(first.Take(100, now + Milliseconds(105)) <= 11);
}

TEST_CASE_FIXTURE(Contenders, "SliceOwner, stale platform response, does not revert the lease")
{
  first.Settle(kStart);
  const StoredLease old = leases.Leases().at("lease");
  first.Settle(kStart + Seconds(4));
  const TimePoint end = first.owner.Lease().FullEnd();
  first.owner.OnRead(std::optional<StoredLease>(old), kStart + Seconds(5));
  CHECK(first.Holds());
  CHECK(first.owner.Lease().FullEnd() == end);
}

TEST_CASE("LeaseRecord, any record, round-trips and malformed JSON is rejected")
{
  LeaseRecord record;
  record.holder = { "vm1", { 0x0A000001, 23001 }, 7 };
  record.released = true;
  record.terms = TermsWith(3);
  record.tails = { { { "vm2", { 0x0A000002, 23001 }, 3 }, ShareMask(0xFF), Milliseconds(5000) } };
  record.levels = { { "verge", 3.25, 2 } };
  CHECK(LeaseRecord::FromJson(record.ToJson()) == record);
  nlohmann::json broken = record.ToJson();
  broken["tails"][0]["remainingMs"] = -1;
  CHECK_FALSE(LeaseRecord::FromJson(broken));
  for (int eighths : { -1, 0, 9 }) {
    broken = record.ToJson();
    broken["tailEighths"] = eighths;
    CHECK_FALSE(LeaseRecord::FromJson(broken));
  }
  broken["tailEighths"] = "6";
  CHECK_FALSE(LeaseRecord::FromJson(broken));
}

TEST_CASE("LeaseRecord, record of a version without a tail share, defaults to half")
{
  LeaseRecord record;
  record.holder = { "vm1", { 0x0A000001, 23001 }, 7 };
  nlohmann::json old = record.ToJson();
  old.erase("tailEighths");
  REQUIRE(LeaseRecord::FromJson(old));
  CHECK(LeaseRecord::FromJson(old)->terms.tailEighths == 4);
  CHECK_FALSE(LeaseRecord::FromJson(nlohmann::json::array()));
}
