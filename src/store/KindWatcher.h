#pragma once

#include "mustardwinch/Clock.h"
#include "store/ObjectStore.h"
#include "store/StorePosition.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Follows one kind of objects: lists it, then watches, and lists anew when the store has dropped
 * its history or goes on in another one. Failed calls are repeated with a growing pause, since each
 * is charged; one that waited long for nothing is repeated soon.
 *
 * Load pattern: the store comes back from a copy, and its new history passes the watched revision
 * before the next watch, so the store finds nothing wrong with that watch.
 */
class KindWatcher
{
public:
  struct Handlers
  {
    /** The whole kind as of a position of the store. */
    std::function<void(std::vector<StoredObject>, StorePosition)> onList;
    /** One change. The second argument is the store's position after all changes of the batch. */
    std::function<void(const StoredObject&, StorePosition)> onChange;
    /** The store began or ceased to answer. */
    std::function<void(bool aReachable, const std::string& aDetail)> onReachable;
    /** All changes that the store acknowledged before aAsOf are known. Not called for answers that
     * may lag. */
    std::function<void(TimePoint aAsOf)> onCurrent = nullptr;
  };

  KindWatcher(boost::asio::io_context& aLoop,
              Clock& aClock,
              const ObjectStore& aStore,
              StoredKind aKind,
              Handlers aHandlers,
              Milliseconds aGap = Milliseconds(0));

  void Start() { List(); }

  /** The first list must be the newest as well. Called before Start(). */
  void RequireNewestFirstList() { mListFreshness = Freshness::kNewest; }

  void Stop() { mStopped = true; }

  /**
   * How long one watch waits. A store that drops its history tells a waiting watch nothing, so only
   * the next watch learns of the changes that were lost. A shorter wait begins at once.
   */
  void SetWait(Milliseconds aWait, Freshness aFreshness = Freshness::kNewest);

  /** Calls the store again now if the watcher is pausing after a failure. */
  void Wake();

  /** The next watch begins now instead of after the gap. */
  void SkipGap();

  /** The store has a history of this epoch: lists anew if what is known is of an earlier one. */
  void OnEpoch(std::uint64_t aEpoch);

private:
  void List();
  void OnList(StoreReply aReply);
  void Watch();
  void WatchAfterGap();
  void OnWatch(const StoreReply& aReply, TimePoint aSent, Freshness aFreshness);
  void OnHistoryGone();
  void ListAnew();
  void ReportCurrent(TimePoint aAsOf, Freshness aFreshness) const;
  void LogReply(const char* aCall, const StoreReply& aReply) const;
  void Pause(const std::string& aDetail, TimePoint aSent);
  void CallLater();
  void CallNow();
  void SetReachable(bool aReachable, const std::string& aDetail);

  Clock& mClock;
  const ObjectStore& mStore;
  const StoredKind mKind;
  const Handlers mHandlers;
  const Milliseconds mGap; //!< pause before each watch; changes meanwhile come in one answer
  boost::asio::steady_timer mTimer;
  std::vector<StoredObject> mListed;
  std::uint64_t mListedEpoch = 0; //!< of the pages in mListed
  TimePoint mListBegin{};         //!< when the first page of the current list was requested
  TimePoint mPageSent{};          //!< when its latest page was requested
  StorePosition mPosition;        //!< up to which changes are known
  std::uint64_t mEpoch = 0;       //!< newest history that the store is known to have
  std::uint64_t mWatch = 0; //!< number of the latest watch; answers of earlier ones are dropped
  bool mGoneLast = false;   //!< the history was gone for the last watch as well
  Milliseconds mWait;
  Freshness mFreshness = Freshness::kNewest;
  /** The watch that follows the first list tells at once what that list lacked; a list after lost
   *  history must be newer than that history. */
  Freshness mListFreshness = Freshness::kMayLag;
  bool mWatching = false;
  Milliseconds mPause;
  bool mHasList = false;
  bool mReachable = true;
  bool mPausing = false;
  bool mInGap = false;
  bool mStopped = false;
};

} // namespace mustardwinch
