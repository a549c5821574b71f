#pragma once

#include "membership/PlatformReader.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Lists the platform's objects, then watches for changes, with one call per step. Never requests
 * changes older than the last seen revision, and lists again once the platform has compacted the
 * changes after it. Not thread-safe.
 */
class PlatformWatcher
{
public:
  /** Duration of one watch call. The age of a contact counts from the start of its call, so the
   * duration is short. */
  static constexpr Milliseconds kWatchWait{ 500 };
  static constexpr Milliseconds kInitialBackoff{ 200 };
  static constexpr Milliseconds kMaxBackoff{ 5'000 };
  static constexpr Milliseconds kIdleWait{ 200 };
  /** Delay between two calls, so that frequent changes do not cause a busy loop of calls. */
  static constexpr Milliseconds kCallInterval{ 20 };

  /** Receives a response, whether it is a list, and when its call was sent. */
  using Sink = std::function<void(PlatformChanges aChanges, bool aIsList, TimePoint aSentAt)>;

  PlatformWatcher(const Clock& aClock,
                  PlatformReader aReader,
                  std::vector<std::string> aKinds,
                  Sink aSink,
                  std::uint64_t aRandomSeed);

  /**
   * Makes at most one call and passes its response to the sink. @param aActive whether this node is
   * a watcher
   * @return how long to wait before the next step
   */
  Milliseconds Step(bool aActive);

private:
  Milliseconds OnError(const Failure& aFailure);
  void OnAnswer(PlatformChanges aChanges, bool aIsList, TimePoint aSentAt);

  const Clock& mClock;
  PlatformReader mReader;
  std::vector<std::string> mKinds;
  Sink mSink;
  std::mt19937_64 mRandom;
  std::uint64_t mRevision = 0;
  bool mListRequired = true;
  bool mUnreachable = false;
  Milliseconds mBackoff = kInitialBackoff;
};

} // namespace mustardwinch
