#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** The configuration that a node last reported as applied. */
struct AppliedRevision
{
  std::string node;
  std::uint64_t revision = 0; //!< highest platform version
  std::uint64_t digest = 0;
  TimePoint receivedAt;

  bool operator==(const AppliedRevision&) const = default;
};

} // namespace mustardwinch
