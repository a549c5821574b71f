#include "config/ConfigIndex.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace mustardwinch {

std::uint64_t ConfigIndex::HashOf(By aBy, std::string_view aText)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), static_cast<XXH64_hash_t>(aBy));
}

ConfigIndex::Shard::const_iterator ConfigIndex::LowerBound(const Shard& aShard, std::uint64_t aHash)
{
  return std::lower_bound(
    aShard.begin(), aShard.end(), aHash, [](const Entry& aEntry, std::uint64_t aOther) {
      return aEntry.hash < aOther;
    });
}

ConfigIndex::Shard& ConfigIndex::Edit::Writable(std::uint64_t aHash)
{
  const std::size_t index = aHash % kShards;
  const auto [it, added] = mChanged.try_emplace(index);
  if (added && mBase.mShards[index]) {
    it->second = *mBase.mShards[index];
  }
  return it->second;
}

void ConfigIndex::Edit::Add(By aBy, std::string_view aText, const Record::Ptr& aRecord)
{
  const std::uint64_t hash = HashOf(aBy, aText);
  Shard& shard = Writable(hash);
  auto it = LowerBound(shard, hash);
  while (it != shard.end() && it->hash == hash && it->record->Key() < aRecord->Key()) {
    ++it;
  }
  shard.insert(it, Entry{ hash, aRecord });
}

void ConfigIndex::Edit::Remove(By aBy, std::string_view aText, const Record::Ptr& aRecord)
{
  const std::uint64_t hash = HashOf(aBy, aText);
  Shard& shard = Writable(hash);
  std::erase_if(
    shard, [&](const Entry& aEntry) { return aEntry.hash == hash && aEntry.record == aRecord; });
}

ConfigIndex ConfigIndex::Edit::Apply()
{
  ConfigIndex index = mBase;
  for (auto& [number, shard] : mChanged) {
    shard.shrink_to_fit();
    index.mShards[number] = std::make_shared<const Shard>(std::move(shard));
  }
  return index;
}

} // namespace mustardwinch
