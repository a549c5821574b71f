#include "config/ConfigStore.h"

#include "config/ConfigEntries.h"
#include "mustardwinch/Event.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mustardwinch {
ConfigStore::ConfigStore(ConfigSource& aSource, ResourceParser aParser)
  : mSource(aSource)
  , mParser(std::make_shared<const ResourceParser>(std::move(aParser)))
{
}

ConfigBasics& ConfigStore::Writable(Draft& aDraft) const
{
  if (!aDraft.basics) {
    aDraft.basics = std::make_shared<ConfigBasics>(*mBasics);
  }
  return *aDraft.basics;
}

void ConfigStore::TakeOut(const Record::Ptr& aRecord, Draft& aDraft) const
{
  if (!aRecord || aRecord->IsDeleted()) {
    return;
  }
  const Result<Resource> parsed = ParseConfigRecord(*aRecord, *mParser);
  if (!parsed) {
    return;
  }
  if (ConfigBasics::Holds(parsed.Value())) {
    Writable(aDraft).Remove(parsed.Value());
    return;
  }
  ForEachConfigEntry(parsed.Value(), [&](ConfigIndex::By aBy, const std::string& aText) {
    aDraft.edit.Remove(aBy, aText, aRecord);
  });
}

void ConfigStore::PutIn(const Record::Ptr& aRecord, Draft& aDraft)
{
  if (aRecord->IsDeleted()) {
    return;
  }
  const Result<Resource> parsed = ParseConfigRecord(*aRecord, *mParser);
  if (!parsed) {
    // Kinds of other parts of the system travel as records too and are no fault.
    if (parsed.Error().code != ResultCode::kResourceUnknownKind) {
      LogEvent(
        LogLevel::kWarn,
        Event::kResourceRejected,
        { { "resource", std::string(aRecord->Key()) }, { "detail", parsed.Error().detail } });
    }
    return;
  }
  if (ConfigBasics::Holds(parsed.Value())) {
    Writable(aDraft).Put(parsed.Value());
    return;
  }
  ForEachConfigEntry(parsed.Value(), [&](ConfigIndex::By aBy, const std::string& aText) {
    aDraft.edit.Add(aBy, aText, aRecord);
  });
  mLongestPrefix = std::max(mLongestPrefix, PrefixLengthOf(parsed.Value()));
}

void ConfigStore::Apply(const std::vector<RecordChange>& aChanges, std::uint64_t aRevision)
{
  if (aChanges.empty()) {
    return;
  }
  const auto current = mSource.Current();
  ConfigIndex::Edit edit(current->mIndex);
  Draft draft{ edit, nullptr };
  for (const RecordChange& it : aChanges) {
    TakeOut(it.before, draft);
    PutIn(it.after, draft);
  }
  if (draft.basics) {
    mBasics = std::move(draft.basics);
  }
  Replace(aRevision, edit.Apply());
  LogEvent(LogLevel::kInfo,
           Event::kConfigApplied,
           { { "first", std::string(aChanges.front().after->Key()) },
             { "changes", std::to_string(aChanges.size()) },
             { "revision", std::to_string(aRevision) } });
}

void ConfigStore::Trim()
{
  const auto current = mSource.Current();
  if (current->DecodedCount() > kMaxDecoded) {
    Replace(current->Revision(), current->mIndex);
  }
}

void ConfigStore::Replace(std::uint64_t aRevision, ConfigIndex aIndex)
{
  mSource.Replace(std::make_shared<const ConfigSnapshot>(
    aRevision, std::move(aIndex), mBasics, mParser, mLongestPrefix));
}

} // namespace mustardwinch
