#pragma once

#include "membership/PlatformReader.h"
#include "mustardwinch/Clock.h"
#include "store/RewriteTime.h"

#include <cstdint>
#include <functional>
#include <optional>
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
  /** A platform that came back from a copy is listed again after this time: by then its writers
   * have written again what it lost, and nobody keeps the rest. */
  static constexpr Milliseconds kRelistDelay = kRewriteTime + Milliseconds(1'000);

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
  std::uint64_t mEpoch = 0;         //!< of the platform's history that was last listed
  std::optional<TimePoint> mListAt; //!< when the platform is to be listed again
  bool mListRequired = true;
  bool mUnreachable = false;
  Milliseconds mBackoff = kInitialBackoff;
};

} // namespace mustardwinch
