#pragma once

#include "membership/Record.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace mustardwinch {

/**
 * The records of one family. The newest version of a key wins regardless of the order and number of
 * deliveries; a tombstone is an ordinary version. Not thread-safe.
 */
class RecordStore
{
public:
  static constexpr std::size_t kBuckets = 256;
  using Digests = std::array<std::uint64_t, kBuckets>;
  using Bucket = std::vector<Record::Ptr>; //!< sorted by key

  /** Stores the record if it is newer than the stored version. @return whether the store changed */
  bool Apply(const Record::Ptr& aRecord);

  /** Removes a key without leaving a tombstone. Only for node records whose owner failed or left.
   */
  bool Erase(std::string_view aKey);

  /** The record of a key, tombstones included; null if the key is unknown. */
  Record::Ptr Find(std::string_view aKey) const;

  /** Whether aVersion is newer than the stored version of the key, or the key is unknown. */
  bool IsNewer(std::string_view aKey, RecordVersion aVersion) const;

  static std::size_t BucketOf(std::string_view aKey);
  const Bucket& At(std::size_t aBucket) const { return mBuckets[aBucket]; }
  const Digests& BucketDigests() const { return mDigests; }

  /** Equal on two nodes that hold the same records. */
  std::uint64_t Digest() const { return mDigest; }

  /** Highest major version stored; for configuration this is the platform's revision. */
  std::uint64_t Revision() const { return mRevision; }

  /** Number of records, tombstones included. */
  std::size_t Size() const { return mSize; }

private:
  void ToggleDigest(std::size_t aBucket, const Record& aRecord);

  std::array<Bucket, kBuckets> mBuckets;
  Digests mDigests{};
  std::uint64_t mDigest = 0;
  std::uint64_t mRevision = 0;
  std::size_t mSize = 0;
};

} // namespace mustardwinch
