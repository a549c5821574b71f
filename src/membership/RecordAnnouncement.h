#pragma once

#include "membership/RecordFamily.h"
#include "membership/RecordVersion.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Announces a version of a record. A receiver without that version requests it from the sender. */
struct RecordAnnouncement
{
  RecordFamily family = RecordFamily::kConfig;
  std::string key;
  RecordVersion version;
  std::uint32_t bytes = 0; //!< size of the content

  bool operator==(const RecordAnnouncement&) const = default;
};

} // namespace mustardwinch
