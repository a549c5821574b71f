#pragma once

#include "store/StoredObject.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/** How a call to the platform's store ended. */
enum class StoreStatus : std::uint8_t
{
  kDone,
  kUnavailable, //!< refused for now, nothing was done
  kUnclear,     //!< no answer; a write may still take effect
  kHistoryGone, //!< the watch begins before the oldest kept change
  kConflict,    //!< the object exists or has another revision
  kNotFound,
  kRejected, //!< the call itself is wrong
};

/** Answer of the platform's store. */
struct StoreReply
{
  StoreStatus status = StoreStatus::kUnclear;
  std::vector<StoredObject> objects; //!< listed, changed, or the one that was written
  std::uint64_t revision = 0;        //!< of the store; with kDone of a list or watch
  bool more = false;                 //!< the list goes on after the last object
  std::string detail;                //!< why it failed
  /** Number of the store's history, greater by one each time that the store comes back from a copy;
   * nothing if the reply does not tell it. */
  std::optional<std::uint64_t> epoch;

  bool operator==(const StoreReply&) const = default;
};

} // namespace mustardwinch
