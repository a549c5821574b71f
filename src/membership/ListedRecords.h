#pragma once

#include "membership/RecordStore.h"
#include "platform/PlatformChanges.h"

#include <string>
#include <vector>

namespace mustardwinch {

/** What becomes of records that the platform lost when it came back from a copy. */
enum class LostRecords : std::uint8_t
{
  kKeep,   //!< they hold until their writers have written them again
  kGiveUp, //!< the platform's content holds
};

/**
 * The records that a list of the platform brings: the listed objects, and deletions of records of
 * these kinds that it lacks unless their version is above the list's.
 *
 * Load pattern: the platform comes back from a copy, and operators need a moment to write again
 * what it lost. Kept records are put right after the copy: any write in the new history is later,
 * and all nodes that list give them the same version.
 */
std::vector<Record::Ptr> RecordsOfList(const RecordStore& aKnown,
                                       const PlatformChanges& aList,
                                       const std::vector<std::string>& aKinds,
                                       LostRecords aLost);

/** The record of an object; null if its name or spec is too large. */
Record::Ptr RecordOf(const PlatformObject& aObject);

} // namespace mustardwinch
