#include "history/RateHistoryCheck.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace mustardwinch;

namespace {

TimePoint At(double aSeconds)
{
  return TimePoint(Duration(static_cast<std::int64_t>(aSeconds * 1e9)));
}

} // namespace

TEST_CASE("RateHistoryCheck, burst and then the rate, accepts")
{
  const RateHistoryCheck check({ { At(0), 10, 3 } });
  CHECK_FALSE(check.Check({ At(5), At(5), At(5), At(5.1), At(5.2), At(5.3) }));
}

TEST_CASE("RateHistoryCheck, one more than the burst at once, rejects and reports the window")
{
  const RateHistoryCheck check({ { At(0), 10, 3 } });
  const auto violation = check.Check({ At(1), At(5), At(5), At(5), At(5.05), At(9) });
  REQUIRE(violation);
  CHECK(violation->from == At(5));
  CHECK(violation->to == At(5.05));
  CHECK(violation->admitted == 4);
  CHECK(violation->allowed == doctest::Approx(3.5));
}

TEST_CASE("RateHistoryCheck, the full burst twice without time between, rejects")
{
  const RateHistoryCheck check({ { At(0), 1, 5 } });
  std::vector<TimePoint> times(5, At(10));
  times.insert(times.end(), 5, At(11));
  CHECK(check.Check(times));
}

TEST_CASE("RateHistoryCheck, a change of limits, counts each rate while it was in force")
{
  const RateHistoryCheck check({ { At(0), 100, 1 }, { At(10), 1, 1 } });
  CHECK_FALSE(check.Check({ At(9.97), At(9.98), At(9.99), At(10), At(11) }));
  CHECK(check.Check({ At(9.99), At(10), At(10.01), At(10.02) }));
}

TEST_CASE("RateHistoryCheck, random histories, agrees with a brute-force check of every window")
{
  const bool agrees = rc::check([] {
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    const double rate = *rc::gen::inRange(1, 20);
    const double burst = *rc::gen::inRange(1, 5);
    std::vector<TimePoint> times{ At(0) };
    for (int it : steps) {
      times.push_back(times.back() + Milliseconds(it));
    }
    bool over = false;
    for (std::size_t i = 0; i < times.size(); ++i) {
      for (std::size_t j = i; j < times.size(); ++j) {
        const double span = std::chrono::duration<double>(times[j] - times[i]).count();
        over = over || static_cast<double>(j - i + 1) > rate * span + burst + 1e-5;
      }
    }
    RC_ASSERT(RateHistoryCheck({ { At(0), rate, burst } }).Check(times).has_value() == over);
  });
  CHECK(agrees);
}
