#pragma once

#include "membership/RecordVersion.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <atomic>
#include <cstdint>
#include <string_view>

namespace mustardwinch {

/**
 * One version of one record: key, content and version in a single allocation, because a node holds
 * more than 100,000 of them. Immutable; shared by the store and by snapshots.
 */
class Record
{
public:
  using Ptr = boost::intrusive_ptr<const Record>;

  /** Returns null if the key is empty or a size limit is exceeded. A tombstone has no content. */
  static Ptr Make(std::string_view aKey,
                  RecordVersion aVersion,
                  bool aDeleted,
                  std::string_view aContent);

  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  std::string_view Key() const { return { Text(), mKeyBytes }; }
  std::string_view Content() const { return { Text() + mKeyBytes, mContentBytes }; }
  RecordVersion Version() const { return mVersion; }
  bool IsDeleted() const { return mDeleted; }

  /** Hash of key, version and content; equal on all nodes. */
  std::uint64_t Digest() const;

  static constexpr std::size_t kMaxKeyBytes = 512;
  static constexpr std::size_t kMaxContentBytes = 1'048'576;

private:
  Record(RecordVersion aVersion, bool aDeleted)
    : mVersion(aVersion)
    , mDeleted(aDeleted)
  {
  }
  ~Record() = default;

  const char* Text() const { return reinterpret_cast<const char*>(this + 1); }

  // boost::intrusive_ptr finds these functions by name.
  friend void intrusive_ptr_add_ref(const Record* aRecord); // NOLINT(readability-identifier-naming)
  friend void intrusive_ptr_release(const Record* aRecord); // NOLINT(readability-identifier-naming)

  RecordVersion mVersion;
  mutable std::atomic<std::uint32_t> mReferences{ 0 };
  std::uint32_t mContentBytes = 0;
  std::uint16_t mKeyBytes = 0;
  bool mDeleted = false;
};

} // namespace mustardwinch
