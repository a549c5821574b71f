#include "store/KindWatcher.h"

#include "mustardwinch/Event.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mustardwinch {
namespace {

/** The store's longest wait; fewer calls, and a dead connection shows by keep-alive probes. */
constexpr Milliseconds kLongestWait{ 30'000 };

constexpr Milliseconds kFirstPause{ 250 };

/** A change must be in force two seconds after the store is back for three: one call in between. */
constexpr Milliseconds kLongestPause{ 1'500 };

} // namespace

KindWatcher::KindWatcher(boost::asio::io_context& aLoop,
                         Clock& aClock,
                         const ObjectStore& aStore,
                         StoredKind aKind,
                         Handlers aHandlers,
                         Milliseconds aGap)
  : mClock(aClock)
  , mStore(aStore)
  , mKind(aKind)
  , mHandlers(std::move(aHandlers))
  , mGap(aGap)
  , mTimer(aLoop)
  , mWait(kLongestWait)
  , mPause(kFirstPause)
{
}

void KindWatcher::Wake()
{
  if (mPausing) {
    mPause = kFirstPause;
    mTimer.cancel();
  }
}

void KindWatcher::SkipGap()
{
  if (mInGap) {
    mTimer.cancel(); // its handler begins the watch
  }
}

void KindWatcher::List()
{
  if (mStopped) {
    return;
  }
  mPageSent = mClock.Now();
  if (mListed.empty()) {
    mListBegin = mPageSent;
  }
  const std::string after = mListed.empty() ? std::string() : mListed.back().name;
  mStore.list(
    mKind, after, mListFreshness, [this](StoreReply aReply) { OnList(std::move(aReply)); });
}

void KindWatcher::OnList(StoreReply aReply)
{
  LogReply("list", aReply);
  if (aReply.status != StoreStatus::kDone) {
    mListed.clear();
    Pause(aReply.detail, mPageSent);
    return;
  }
  SetReachable(true, {});
  const std::uint64_t epoch = aReply.epoch.value_or(mEpoch);
  if (epoch < mEpoch) { // of an earlier history
    mListed.clear();
    mListFreshness = Freshness::kNewest;
    CallLater();
    return;
  }
  if (!mListed.empty() && epoch != mListedEpoch) { // the pages do not belong together
    mListed.clear();
    List();
    return;
  }
  mEpoch = epoch;
  mListedEpoch = epoch;
  for (StoredObject& it : aReply.objects) {
    it.epoch = epoch;
    mListed.push_back(std::move(it));
  }
  if (aReply.more && !aReply.objects.empty()) {
    List();
    return;
  }
  mPosition = { epoch, aReply.revision };
  mHasList = true;
  const Freshness freshness = std::exchange(mListFreshness, Freshness::kNewest);
  mHandlers.onList(std::exchange(mListed, {}), mPosition);
  ReportCurrent(mListBegin, freshness);
  WatchAfterGap();
}

void KindWatcher::OnEpoch(std::uint64_t aEpoch)
{
  if (aEpoch <= mEpoch) {
    return;
  }
  mEpoch = aEpoch;
  if (mHasList) { // otherwise the list under way is judged when it comes
    ListAnew();
  }
}

/** Nothing of an earlier history is asked for or believed any more. */
void KindWatcher::ListAnew()
{
  mHasList = false;
  mListFreshness = Freshness::kNewest;
  ++mWatch; // the answer to the watch under way is dropped
  mWatching = false;
  if (mPausing || mInGap) {
    mTimer.cancel(); // its handler lists
  } else {
    List();
  }
}

void KindWatcher::Watch()
{
  if (mStopped) {
    return;
  }
  mWatching = true;
  const std::uint64_t number = ++mWatch;
  const auto onReply =
    [this, number, sent = mClock.Now(), freshness = mFreshness](const StoreReply& aReply) {
      if (number == mWatch) {
        mWatching = false;
        OnWatch(aReply, sent, freshness);
      }
    };
  mStore.watch(mKind, mPosition.revision, mWait, mFreshness, onReply);
}

void KindWatcher::SetWait(Milliseconds aWait, Freshness aFreshness)
{
  const bool shorter = aWait < mWait;
  mWait = aWait;
  mFreshness = aFreshness;
  if (shorter && mWatching) {
    Watch();
  }
}

/** The answer is at least as new as the request; how long it was on its way is not known. */
void KindWatcher::ReportCurrent(TimePoint aAsOf, Freshness aFreshness) const
{
  if (mHandlers.onCurrent && aFreshness == Freshness::kNewest) {
    mHandlers.onCurrent(aAsOf);
  }
}

void KindWatcher::OnWatch(const StoreReply& aReply, TimePoint aSent, Freshness aFreshness)
{
  LogReply("watch", aReply);
  if (aReply.status == StoreStatus::kHistoryGone) {
    OnHistoryGone();
    return;
  }
  if (aReply.status != StoreStatus::kDone) {
    Pause(aReply.detail, aSent);
    return;
  }
  SetReachable(true, {});
  mGoneLast = false;
  const std::uint64_t epoch = aReply.epoch.value_or(mPosition.epoch);
  if (epoch > mPosition.epoch) {
    mEpoch = std::max(mEpoch, epoch);
    ListAnew();
    return;
  }
  if (epoch < mPosition.epoch) { // of a replica that lags
    CallLater();
    return;
  }
  const StorePosition after{ epoch, std::max(mPosition.revision, aReply.revision) };
  for (StoredObject it : aReply.objects) {
    it.epoch = epoch;
    mHandlers.onChange(it, after);
  }
  mPosition = after;
  ReportCurrent(aSent, aFreshness);
  WatchAfterGap();
}

/** A store that has no history for the revision of its own list would be listed without end. */
void KindWatcher::OnHistoryGone()
{
  mHasList = false;
  if (std::exchange(mGoneLast, true)) {
    CallLater();
  } else {
    List();
  }
}

void KindWatcher::WatchAfterGap()
{
  if (mGap.count() == 0) {
    Watch();
    return;
  }
  mInGap = true;
  mTimer.expires_after(mGap);
  mTimer.async_wait([this](const boost::system::error_code&) {
    mInGap = false;
    CallNow();
  });
}

void KindWatcher::LogReply(const char* aCall, const StoreReply& aReply) const
{
  LogEvent(LogLevel::kInfo,
           Event::kStoreReply,
           { { "call", aCall },
             { "kind", std::to_string(static_cast<int>(mKind)) },
             { "status", std::to_string(static_cast<int>(aReply.status)) },
             { "objects", std::to_string(aReply.objects.size()) },
             { "since", std::to_string(mPosition.revision) },
             { "revision", std::to_string(aReply.revision) },
             { "epoch", aReply.epoch ? std::to_string(*aReply.epoch) : "none" } });
}

void KindWatcher::Pause(const std::string& aDetail, TimePoint aSent)
{
  SetReachable(false, aDetail);
  if (mClock.Now() - aSent >= kLongestPause) { // the call itself was the pause
    mPause = kFirstPause;
  }
  CallLater();
}

void KindWatcher::CallNow()
{
  if (mHasList) {
    Watch();
  } else {
    List();
  }
}

/** Calls again after a pause that grows. */
void KindWatcher::CallLater()
{
  mPausing = true;
  mTimer.expires_after(mPause);
  mPause = std::min(2 * mPause, kLongestPause);
  mTimer.async_wait([this](const boost::system::error_code&) {
    mPausing = false;
    CallNow();
  });
}

void KindWatcher::SetReachable(bool aReachable, const std::string& aDetail)
{
  if (aReachable) {
    mPause = kFirstPause;
  }
  if (aReachable != mReachable) {
    mReachable = aReachable;
    mHandlers.onReachable(aReachable, aDetail);
  }
}

} // namespace mustardwinch
