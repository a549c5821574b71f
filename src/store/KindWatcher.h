#pragma once

#include "mustardwinch/Clock.h"
#include "store/ObjectStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Follows one kind of objects: lists it, then watches, and lists anew when the store has dropped
 * its history. Failed calls are repeated with a growing pause, since each is charged.
 */
class KindWatcher
{
public:
  struct Handlers
  {
    /** The whole kind as of a revision of the store. */
    std::function<void(std::vector<StoredObject>, std::uint64_t)> onList;
    /** One change. The second argument is the store's revision after all changes of the batch. */
    std::function<void(const StoredObject&, std::uint64_t)> onChange;
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

private:
  void List();
  void OnList(StoreReply aReply);
  void Watch();
  void WatchAfterGap();
  void OnWatch(const StoreReply& aReply, TimePoint aSent, Freshness aFreshness);
  void ReportCurrent(TimePoint aAsOf, Freshness aFreshness) const;
  void LogReply(const char* aCall, const StoreReply& aReply) const;
  void Pause(const std::string& aDetail);
  void SetReachable(bool aReachable, const std::string& aDetail);

  Clock& mClock;
  const ObjectStore& mStore;
  const StoredKind mKind;
  const Handlers mHandlers;
  const Milliseconds mGap; //!< pause before each watch; changes meanwhile come in one answer
  boost::asio::steady_timer mTimer;
  std::vector<StoredObject> mListed;
  TimePoint mListBegin{}; //!< when the first page of the current list was requested
  std::uint64_t mRevision = 0;
  std::uint64_t mWatch = 0; //!< number of the latest watch; answers of earlier ones are dropped
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
