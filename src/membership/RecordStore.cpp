#include "membership/RecordStore.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace mustardwinch {
namespace {

template<typename Bucket>
auto LowerBound(Bucket& aBucket, std::string_view aKey)
{
  return std::lower_bound(
    aBucket.begin(), aBucket.end(), aKey, [](const Record::Ptr& aRecord, std::string_view aOther) {
      return aRecord->Key() < aOther;
    });
}

} // namespace

std::size_t RecordStore::BucketOf(std::string_view aKey)
{
  return XXH3_64bits(aKey.data(), aKey.size()) % kBuckets;
}

void RecordStore::ToggleDigest(std::size_t aBucket, const Record& aRecord)
{
  const std::uint64_t digest = aRecord.Digest();
  mDigests[aBucket] ^= digest;
  mDigest ^= digest;
}

bool RecordStore::Apply(const Record::Ptr& aRecord)
{
  assert(aRecord);
  const std::size_t index = BucketOf(aRecord->Key());
  Bucket& bucket = mBuckets[index];
  const auto it = LowerBound(bucket, aRecord->Key());
  const bool known = it != bucket.end() && (*it)->Key() == aRecord->Key();
  if (known && (*it)->Version() >= aRecord->Version()) {
    return false;
  }
  if (known) {
    ToggleDigest(index, **it);
    *it = aRecord;
  } else {
    bucket.insert(it, aRecord);
    ++mSize;
  }
  ToggleDigest(index, *aRecord);
  mRevision = std::max(mRevision, aRecord->Version().major);
  return true;
}

bool RecordStore::Erase(std::string_view aKey)
{
  const std::size_t index = BucketOf(aKey);
  Bucket& bucket = mBuckets[index];
  const auto it = LowerBound(bucket, aKey);
  if (it == bucket.end() || (*it)->Key() != aKey) {
    return false;
  }
  ToggleDigest(index, **it);
  bucket.erase(it);
  --mSize;
  return true;
}

Record::Ptr RecordStore::Find(std::string_view aKey) const
{
  const Bucket& bucket = mBuckets[BucketOf(aKey)];
  const auto it = LowerBound(bucket, aKey);
  return it != bucket.end() && (*it)->Key() == aKey ? *it : nullptr;
}

bool RecordStore::IsNewer(std::string_view aKey, RecordVersion aVersion) const
{
  const Record::Ptr stored = Find(aKey);
  return !stored || stored->Version() < aVersion;
}

} // namespace mustardwinch
