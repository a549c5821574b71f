#include "placement/WaitingQueue.h"
#include "sidecar/RequestPriority.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

struct QueueFixture
{
  void Add(std::uint64_t aId, int aPriority, const std::string& aOrganisation)
  {
    now += Milliseconds(1);
    queue.Add({ aId, aPriority, aOrganisation, now, now + Milliseconds(500) });
  }

  std::uint64_t Next() { return queue.TakeNext(now)->id; }

  TimePoint now{ Seconds(1'000) };
  WaitingQueue queue;
};

} // namespace

TEST_CASE_FIXTURE(QueueFixture, "WaitingQueue, mixed priorities, the most urgent first")
{
  Add(1, 2, "a");
  Add(2, 1, "a");
  CHECK(Next() == 2);
  CHECK(Next() == 1);
}

// A run at the larger service made two calls at the smaller one; each call that was turned away
// behind new requests lost the run.
TEST_CASE_FIXTURE(QueueFixture, "WaitingQueue, calls of upstreams among new requests, go first")
{
  TrafficRoute route;
  route.priority = 0;
  const TrafficOrganisation urgent{ {}, 0 };
  int callsServed = 0;
  std::uint64_t id = 0;
  for (int round = 0; round < 50; ++round) { // two arrivals for each slot that becomes free
    Add(++id, PriorityOf(route, &urgent, false), "org");
    Add(++id, PriorityOf(route, nullptr, true), "");
    CHECK(queue.CountAhead(PriorityOf(route, nullptr, true)) == 1);
    callsServed += Next() % 2 == 0 ? 1 : 0; // calls have even numbers
  }
  CHECK(callsServed == 50);
  CHECK(queue.Size() == 50);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "WaitingQueue, backlog of one organisation, others do not wait for it")
{
  for (std::uint64_t i = 1; i <= 20; ++i) {
    Add(i, 1, "hot");
  }
  CHECK(Next() == 1);
  Add(21, 1, "small");
  CHECK(Next() == 21);
  Add(22, 1, "small");
  CHECK(Next() == 2);
  CHECK(Next() == 22);
}

TEST_CASE_FIXTURE(QueueFixture, "WaitingQueue, latest start has passed, only that request expires")
{
  Add(1, 1, "a");
  now += Milliseconds(300);
  Add(2, 1, "a");
  now += Milliseconds(300);
  const auto expired = queue.TakeExpired(now);
  REQUIRE(expired.size() == 1);
  CHECK(expired.front().id == 1);
  CHECK(queue.Size() == 1);
}

TEST_CASE_FIXTURE(QueueFixture, "WaitingQueue, requests ahead, only those at least as urgent count")
{
  Add(1, 1, "a");
  Add(2, 3, "a");
  CHECK(queue.CountAhead(1) == 1);
  CHECK(queue.CountAhead(3) == 2);
}

TEST_CASE_FIXTURE(QueueFixture, "WaitingQueue, removed request, is not returned again")
{
  Add(1, 1, "a");
  CHECK(queue.Remove(1));
  CHECK_FALSE(queue.Remove(1));
  CHECK_FALSE(queue.TakeNext(now).has_value());
}
