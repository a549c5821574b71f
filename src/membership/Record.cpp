#include "membership/Record.h"

#include <xxhash.h>

#include <cstring>
#include <new>

namespace mustardwinch {

Record::Ptr Record::Make(std::string_view aKey,
                         RecordVersion aVersion,
                         bool aDeleted,
                         std::string_view aContent)
{
  if (aKey.empty() || aKey.size() > kMaxKeyBytes || aContent.size() > kMaxContentBytes) {
    return nullptr;
  }
  const std::string_view content = aDeleted ? std::string_view() : aContent;
  void* memory = ::operator new(sizeof(Record) + aKey.size() + content.size());
  auto* record = new (memory) Record(aVersion, aDeleted);
  char* text = static_cast<char*>(memory) + sizeof(Record);
  record->mKeyBytes = static_cast<std::uint16_t>(aKey.size());
  record->mContentBytes = static_cast<std::uint32_t>(content.size());
  std::memcpy(text, aKey.data(), aKey.size());
  if (!content.empty()) {
    std::memcpy(text + aKey.size(), content.data(), content.size());
  }
  return Ptr(record);
}

std::uint64_t Record::Digest() const
{
  std::uint64_t hash = XXH3_64bits_withSeed(Key().data(), Key().size(), mVersion.major);
  hash = XXH3_64bits_withSeed(Content().data(), Content().size(), hash ^ mVersion.minor);
  return mDeleted ? ~hash : hash;
}

void intrusive_ptr_add_ref(const Record* aRecord) // NOLINT(readability-identifier-naming)
{
  aRecord->mReferences.fetch_add(1, std::memory_order_relaxed);
}

void intrusive_ptr_release(const Record* aRecord) // NOLINT(readability-identifier-naming)
{
  if (aRecord->mReferences.fetch_sub(1, std::memory_order_acq_rel) == 1) {
    aRecord->~Record();
    ::operator delete(const_cast<Record*>(aRecord));
  }
}

} // namespace mustardwinch
