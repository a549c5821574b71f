#pragma once

#include <compare>
#include <cstdint>

namespace mustardwinch {

/**
 * Ordered version of a record. Configuration: the platform's version and 0. Node record: the
 * incarnation of the node and a sequence number within it.
 */
struct RecordVersion
{
  std::uint64_t major = 0;
  std::uint64_t minor = 0;

  auto operator<=>(const RecordVersion&) const = default;
};

} // namespace mustardwinch
