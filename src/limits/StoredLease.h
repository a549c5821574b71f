#pragma once

#include "limits/LeaseRecord.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** A lease as stored on the platform. */
struct StoredLease
{
  LeaseRecord record;
  std::uint64_t version = 0;
  std::string operation; //!< ID of the write that created this version
  bool copied = false;   //!< of the copy that the platform last came back from

  bool operator==(const StoredLease&) const = default;
};

} // namespace mustardwinch
