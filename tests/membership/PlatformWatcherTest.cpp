#include "membership/PlatformWatcher.h"
#include "platform/PlatformVersion.h"

#include <doctest/doctest.h>

#include <deque>

using namespace mustardwinch;

namespace {

/** A watcher of a platform with scripted responses. */
struct WatcherFixture
{
  WatcherFixture()
    : watcher(
        clock,
        { [this](const auto&) { return Next("list"); },
          [this](const auto&, std::uint64_t aRevision, Milliseconds) {
            return Next("watch " + std::to_string(aRevision));
          } },
        { "organisation" },
        [this](const PlatformChanges& aChanges, bool, TimePoint aSentAt) {
          seen.push_back(aChanges.revision);
          sentAt = aSentAt;
        },
        1)
  {
    clock.Pause();
  }

  Result<PlatformChanges> Next(const std::string& aCall)
  {
    calls.push_back(aCall);
    clock.Advance(Milliseconds(400));
    REQUIRE(!answers.empty());
    auto answer = answers.front();
    answers.pop_front();
    return answer;
  }

  static Result<PlatformChanges> At(std::uint64_t aRevision)
  {
    return PlatformChanges{ aRevision, {} };
  }

  Clock clock;
  std::deque<Result<PlatformChanges>> answers;
  std::vector<std::string> calls;
  std::vector<std::uint64_t> seen;
  TimePoint sentAt{};
  PlatformWatcher watcher;
};

using Calls = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(WatcherFixture,
                  "PlatformWatcher, active, lists once and then watches from the list's revision")
{
  answers = { At(5), At(5), At(7), At(7) };
  for (int n = 0; n < 4; ++n) {
    watcher.Step(true);
  }
  CHECK(calls == Calls{ "list", "watch 5", "watch 5", "watch 7" });
  CHECK(seen == std::vector<std::uint64_t>{ 5, 5, 7, 7 });
}

TEST_CASE_FIXTURE(WatcherFixture, "PlatformWatcher, a contact, is timed at the start of its call")
{
  answers = { At(5) };
  const TimePoint before = clock.Now();
  watcher.Step(true);
  CHECK(sentAt == before);
}

TEST_CASE_FIXTURE(WatcherFixture, "PlatformWatcher, changes were compacted, lists again")
{
  answers = { At(5), ResultCode::kPlatformCompacted, At(9), At(9) };
  for (int n = 0; n < 4; ++n) {
    watcher.Step(true);
  }
  CHECK(calls == Calls{ "list", "watch 5", "list", "watch 9" });
}

TEST_CASE_FIXTURE(WatcherFixture,
                  "PlatformWatcher, stale responses, are dropped and do not count as a contact")
{
  answers = { At(5), At(3), ResultCode::kPlatformCompacted, At(4), At(5) };
  for (int n = 0; n < 5; ++n) {
    watcher.Step(true);
  }
  CHECK(seen == std::vector<std::uint64_t>{ 5, 5 });
  CHECK(calls == Calls{ "list", "watch 5", "watch 5", "list", "list" });
}

TEST_CASE_FIXTURE(WatcherFixture,
                  "PlatformWatcher, the platform is unreachable, backs off within bounds")
{
  Milliseconds most{ 0 };
  for (int n = 0; n < 50; ++n) {
    answers.push_back(ResultCode::kPlatformUnavailable);
    const Milliseconds wait = watcher.Step(true);
    CHECK(wait >= PlatformWatcher::kInitialBackoff / 2);
    most = std::max(most, wait);
  }
  CHECK(most > PlatformWatcher::kMaxBackoff / 2);
  CHECK(most <= PlatformWatcher::kMaxBackoff);
}

TEST_CASE_FIXTURE(WatcherFixture,
                  "PlatformWatcher, inactive, makes no calls and lists when active again")
{
  answers = { At(5), At(6) };
  watcher.Step(true);
  watcher.Step(false);
  watcher.Step(true);
  CHECK(calls == Calls{ "list", "list" });
}

TEST_CASE_FIXTURE(WatcherFixture,
                  "PlatformWatcher, platform in a later history, lists now and again")
{
  const std::uint64_t restored = MakePlatformVersion(1, 3);
  answers = { At(7), ResultCode::kPlatformCompacted, At(restored), At(restored) };
  for (int i = 0; i < 4; ++i) {
    watcher.Step(true);
  }
  CHECK(seen == std::vector<std::uint64_t>{ 7, restored, restored });
  clock.Advance(PlatformWatcher::kRelistDelay);
  answers = { At(restored), At(restored) };
  watcher.Step(true);
  watcher.Step(true);
  const std::string watch = "watch " + std::to_string(restored);
  CHECK(calls == Calls{ "list", "watch 7", "list", watch, "list", watch });
}

TEST_CASE_FIXTURE(WatcherFixture, "PlatformWatcher, watch answered by a later history, lists")
{
  answers = { At(7), At(MakePlatformVersion(1, 9)), At(MakePlatformVersion(1, 9)) };
  for (int i = 0; i < 3; ++i) {
    watcher.Step(true);
  }
  CHECK(calls == Calls{ "list", "watch 7", "list" });
  CHECK(seen == std::vector<std::uint64_t>{ 7, MakePlatformVersion(1, 9) });
}
