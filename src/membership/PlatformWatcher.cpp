#include "membership/PlatformWatcher.h"

#include "mustardwinch/Event.h"
#include "platform/PlatformVersion.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {

PlatformWatcher::PlatformWatcher(const Clock& aClock,
                                 PlatformReader aReader,
                                 std::vector<std::string> aKinds,
                                 Sink aSink,
                                 std::uint64_t aRandomSeed)
  : mClock(aClock)
  , mReader(std::move(aReader))
  , mKinds(std::move(aKinds))
  , mSink(std::move(aSink))
  , mRandom(aRandomSeed)
{
}

Milliseconds PlatformWatcher::Step(bool aActive)
{
  if (!aActive) {
    // By the next activation the platform may have compacted the changes since mRevision.
    mListRequired = true;
    return kIdleWait;
  }
  if (mListAt && mClock.Now() >= *mListAt) {
    mListAt.reset();
    mListRequired = true;
  }
  const bool list = mListRequired;
  const TimePoint sentAt = mClock.Now();
  Result<PlatformChanges> answer =
    list ? mReader.list(mKinds) : mReader.watch(mKinds, mRevision, kWatchWait);
  if (!answer) {
    return OnError(answer.Error());
  }
  if (answer.Value().revision < mRevision) {
    return OnError(
      { ResultCode::kPlatformBadAnswer, "the response is older than the last seen revision" });
  }
  const std::uint64_t epoch = PlatformEpochOf(answer.Value().revision);
  if (!list && epoch > mEpoch) { // a watch of another history
    mListRequired = true;
    return kCallInterval;
  }
  if (epoch > mEpoch) {
    mEpoch = epoch;
    mListAt = mClock.Now() + kRelistDelay;
  }
  OnAnswer(std::move(answer.Value()), list, sentAt);
  return kCallInterval;
}

void PlatformWatcher::OnAnswer(PlatformChanges aChanges, bool aIsList, TimePoint aSentAt)
{
  if (mUnreachable) {
    LogEvent(LogLevel::kInfo, Event::kPlatformBack);
  }
  mUnreachable = false;
  mListRequired = false;
  mBackoff = kInitialBackoff;
  mRevision = aChanges.revision;
  mSink(std::move(aChanges), aIsList, aSentAt);
}

Milliseconds PlatformWatcher::OnError(const Failure& aFailure)
{
  if (aFailure.code == ResultCode::kPlatformCompacted) {
    mListRequired = true;
    return kCallInterval;
  }
  if (!mUnreachable) {
    LogEvent(LogLevel::kWarn,
             Event::kPlatformLost,
             { { "code", std::to_string(aFailure.code.value()) }, { "detail", aFailure.detail } });
  }
  mUnreachable = true;
  // Half of the delay is random, so that watchers do not retry all at once.
  const Milliseconds wait = mBackoff / 2 + Milliseconds(mRandom() % (mBackoff.count() / 2 + 1));
  mBackoff = std::min(mBackoff * 2, kMaxBackoff);
  return wait;
}

} // namespace mustardwinch
