#pragma once

#include "platform/PlatformObject.h"

#include <cstdint>
#include <vector>

namespace mustardwinch {

/** Objects read by a list or a watch, and the revision of the platform that they bring a reader to.
 */
struct PlatformChanges
{
  std::uint64_t revision = 0;
  std::vector<PlatformObject> objects; //!< in order of version; deletions are marked
  std::uint64_t epochBegin = 0; //!< last version that this history took over from a copy; 0: none

  bool operator==(const PlatformChanges&) const = default;
};

} // namespace mustardwinch
