#pragma once

#include "mustardwinch/Clock.h"
#include "store/Freshness.h"
#include "store/StoreReply.h"
#include "store/StoredObject.h"

#include <cstdint>
#include <functional>
#include <string>

namespace mustardwinch {

/** The calls to the platform's store that the fleet needs. All answer later on the event loop. */
struct ObjectStore
{
  using ReplyFn = std::function<void(StoreReply)>;

  /** Lists a kind. @param aAfter continue behind this name; empty: from the start */
  std::function<void(StoredKind aKind, std::string aAfter, Freshness aFreshness, ReplyFn aDone)>
    list;

  /** Waits for changes after a revision, with no objects if there are none within aWait. */
  std::function<void(StoredKind aKind,
                     std::uint64_t aRevision,
                     Milliseconds aWait,
                     Freshness aFreshness,
                     ReplyFn aDone)>
    watch;

  /** Creates an object. */
  std::function<void(StoredKind aKind, StoredObject aObject, ReplyFn aDone)> create;

  /** Replaces an object that still has the given revision. */
  std::function<void(StoredKind aKind, StoredObject aObject, ReplyFn aDone)> replace;

  /** Replaces the status of an object that still has the given revision. */
  std::function<void(StoredKind aKind, StoredObject aObject, ReplyFn aDone)> putStatus;

  /** Removes an object that still has the given revision. */
  std::function<void(StoredKind aKind, StoredObject aObject, ReplyFn aDone)> remove;
};

} // namespace mustardwinch
