#include "membership/ListedRecords.h"

#include "config/ConfigRecord.h"
#include "platform/PlatformVersion.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace mustardwinch {
namespace {

// Minor versions, of records that follow a copy or a list and precede all later writes.
constexpr std::uint64_t kKeptMinor = 1;
constexpr std::uint64_t kGivenUpMinor = 2;

bool HasKind(std::string_view aKey, const std::vector<std::string>& aKinds)
{
  const std::string_view kind = aKey.substr(0, aKey.find('/'));
  return std::find(aKinds.begin(), aKinds.end(), kind) != aKinds.end();
}

/** Whether a record was written in an earlier history, after the copy that this one began with. */
bool IsLost(const Record& aKnown, const PlatformChanges& aList)
{
  const RecordVersion version = aKnown.Version();
  if (aList.epochBegin == 0 || version.major > aList.epochBegin) {
    return false;
  }
  const bool earlier = PlatformEpochOf(version.major) < PlatformEpochOf(aList.epochBegin);
  const bool afterCopy = PlatformNumberOf(version.major) > PlatformNumberOf(aList.epochBegin);
  return version.minor == kKeptMinor || (earlier && afterCopy);
}

Record::Ptr Kept(const Record& aKnown, const PlatformChanges& aList)
{
  return Record::Make(
    aKnown.Key(), { aList.epochBegin, kKeptMinor }, aKnown.IsDeleted(), aKnown.Content());
}

Record::Ptr GivenUp(const Record& aListed, const PlatformChanges& aList)
{
  return Record::Make(
    aListed.Key(), { aList.epochBegin, kGivenUpMinor }, aListed.IsDeleted(), aListed.Content());
}

/** The record of a listed object, or of what is known in its place. */
Record::Ptr Listed(const RecordStore& aKnown,
                   const PlatformObject& aObject,
                   const PlatformChanges& aList,
                   LostRecords aLost)
{
  Record::Ptr listed = RecordOf(aObject);
  const Record::Ptr known = listed ? aKnown.Find(listed->Key()) : nullptr;
  const bool copied = aObject.specVersion <= aList.epochBegin;
  if (!known || !copied || !IsLost(*known, aList)) {
    return listed;
  }
  return aLost == LostRecords::kKeep ? Kept(*known, aList) : GivenUp(*listed, aList);
}

/** The record of a key that the list lacks. */
Record::Ptr Unlisted(const Record& aKnown, const PlatformChanges& aList, LostRecords aLost)
{
  const bool lost = IsLost(aKnown, aList);
  if (lost && aLost == LostRecords::kKeep) {
    return Kept(aKnown, aList);
  }
  // The list's revision supersedes the last version and is superseded by a later creation.
  return Record::Make(aKnown.Key(), { aList.revision, lost ? kGivenUpMinor : 0 }, true, {});
}

} // namespace

Record::Ptr RecordOf(const PlatformObject& aObject)
{
  return ConfigRecord::Make(
    { aObject.kind, aObject.name, aObject.specVersion, aObject.deleted, aObject.spec });
}

std::vector<Record::Ptr> RecordsOfList(const RecordStore& aKnown,
                                       const PlatformChanges& aList,
                                       const std::vector<std::string>& aKinds,
                                       LostRecords aLost)
{
  std::vector<Record::Ptr> records;
  std::unordered_set<std::string> listed;
  for (const PlatformObject& it : aList.objects) {
    listed.insert(it.kind + "/" + it.name);
    if (const Record::Ptr record = Listed(aKnown, it, aList, aLost)) {
      records.push_back(record);
    }
  }
  for (std::size_t n = 0; n < RecordStore::kBuckets; ++n) {
    for (const Record::Ptr& it : aKnown.At(n)) {
      const bool covered = it->Version().major <= aList.revision && HasKind(it->Key(), aKinds);
      if (covered && !it->IsDeleted() && !listed.contains(std::string(it->Key()))) {
        records.push_back(Unlisted(*it, aList, aLost));
      }
    }
  }
  return records;
}

} // namespace mustardwinch
