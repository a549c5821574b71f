#pragma once

#include "membership/RecordFamily.h"
#include "membership/RecordVersion.h"

#include <string>

namespace mustardwinch {

/** Transfer representation of a record. */
struct RecordCopy
{
  RecordFamily family = RecordFamily::kConfig;
  std::string key;
  RecordVersion version;
  bool deleted = false;
  std::string content;

  bool operator==(const RecordCopy&) const = default;
};

} // namespace mustardwinch
