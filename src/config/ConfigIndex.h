#pragma once

#include "membership/Record.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace mustardwinch {

/**
 * Finds records by what requests look for. Copies share their shards, so that a change costs one
 * shard and not the whole index. An entry holds a hash only: the finder compares the record.
 */
class ConfigIndex
{
public:
  /** What an entry is found by. */
  enum class By : std::uint8_t
  {
    kOrganisation,
    kKeyHash,
    kPathPrefix,
  };

  struct Entry
  {
    std::uint64_t hash = 0;
    Record::Ptr record;
  };

  using Shard = std::vector<Entry>; //!< in order of hash, then of the record's key

  /** Changes to make to an index at once. */
  class Edit
  {
  public:
    explicit Edit(const ConfigIndex& aBase)
      : mBase(aBase)
    {
    }

    void Add(By aBy, std::string_view aText, const Record::Ptr& aRecord);
    void Remove(By aBy, std::string_view aText, const Record::Ptr& aRecord);

    /** The index with the changes made. */
    ConfigIndex Apply();

  private:
    Shard& Writable(std::uint64_t aHash);

    const ConfigIndex& mBase;
    std::map<std::size_t, Shard> mChanged;
  };

  /** Calls aVisit(record) for each candidate, in order of the record's key, until it is true. */
  template<typename Visit>
  bool Find(By aBy, std::string_view aText, Visit&& aVisit) const
  {
    const std::uint64_t hash = HashOf(aBy, aText);
    const auto& shard = mShards[hash % kShards];
    if (!shard) {
      return false;
    }
    for (auto it = LowerBound(*shard, hash); it != shard->end() && it->hash == hash; ++it) {
      if (aVisit(it->record)) {
        return true;
      }
    }
    return false;
  }

  /** Calls aVisit(record) for every entry; a record may have several. */
  template<typename Visit>
  void ForEach(Visit&& aVisit) const
  {
    for (const auto& shard : mShards) {
      if (!shard) {
        continue;
      }
      for (const Entry& it : *shard) {
        aVisit(it.record);
      }
    }
  }

private:
  static constexpr std::size_t kShards = 1'024;

  static std::uint64_t HashOf(By aBy, std::string_view aText);
  static Shard::const_iterator LowerBound(const Shard& aShard, std::uint64_t aHash);

  std::array<std::shared_ptr<const Shard>, kShards> mShards;
};

} // namespace mustardwinch
