#include "sidecar/StopSchedule.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

namespace {

/** A stop with the grace period that the platform gives to most deployments. */
struct SixSecondStop
{
  bool MayTake(Milliseconds aElapsed, Milliseconds aTimeLeft) const
  {
    return stop.MayTake(begin + aElapsed, begin + aElapsed + aTimeLeft);
  }

  const TimePoint begin{ Seconds(1'000) };
  const StopSchedule stop{ begin, Seconds(6) };
};

struct TenSecondStop : SixSecondStop
{
  bool MayTake(Milliseconds aElapsed, Milliseconds aTimeLeft) const
  {
    return longStop.MayTake(begin + aElapsed, begin + aElapsed + aTimeLeft);
  }

  const StopSchedule longStop{ begin, Seconds(10) };
};

} // namespace

TEST_CASE_FIXTURE(SixSecondStop,
                  "Stop schedule, callers do not know of the stop yet, all are taken")
{
  CHECK(MayTake(Milliseconds(0), Seconds(60)));
  CHECK(MayTake(Milliseconds(2'700), Seconds(60)));
}

// Guards against a signal that was handled late: by the clock of the platform the request is sent
// after the time in which a cut is accepted.
TEST_CASE_FIXTURE(SixSecondStop,
                  "Stop schedule, shortly before three seconds, only what ends in time is taken")
{
  CHECK_FALSE(MayTake(Milliseconds(2'800), Seconds(4)));
  CHECK(MayTake(Milliseconds(2'800), Seconds(2)));
}

TEST_CASE_FIXTURE(SixSecondStop, "Stop schedule, from half of the grace on, nothing is taken")
{
  CHECK(MayTake(Milliseconds(2'999), Seconds(1)));
  CHECK_FALSE(MayTake(Milliseconds(3'000), Milliseconds(1)));
  CHECK_FALSE(MayTake(Milliseconds(3'001), Seconds(4)));
}

// Guards against a long grace period in which requests are taken that it cuts off: half of it is
// later than the time until which callers arrive.
TEST_CASE_FIXTURE(TenSecondStop,
                  "Stop schedule, long grace, late request is taken if it ends before the grace")
{
  CHECK(MayTake(Milliseconds(4'000), Seconds(5)));
  CHECK_FALSE(MayTake(Milliseconds(4'000), Seconds(6)));
  CHECK_FALSE(MayTake(Milliseconds(5'000), Seconds(1)));
}

TEST_CASE("Stop schedule, grace of one second, takes requests for a while and ends in time")
{
  const TimePoint begin{ Seconds(1'000) };
  const StopSchedule stop(begin, Seconds(1));
  CHECK(stop.MayTake(begin + Milliseconds(200), begin + Seconds(60)));
  CHECK_FALSE(stop.MayTake(begin + Milliseconds(300), begin + Seconds(60)));
  CHECK(stop.FinalAnswers() < stop.LatestExit());
  CHECK(stop.LatestExit() < begin + Seconds(1));
}
