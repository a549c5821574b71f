#pragma once

#include "membership/Record.h"

namespace mustardwinch {

/** The replacement of a record by a newer version. */
struct RecordChange
{
  Record::Ptr before; //!< null if the key was unknown
  Record::Ptr after;  //!< never null; may be a tombstone
};

} // namespace mustardwinch
