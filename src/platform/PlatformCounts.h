#pragma once

#include <cstdint>

namespace mustardwinch {

/** Calls that a stand-in for the platform has received. A waiting watch counts once. */
struct PlatformCounts
{
  std::uint64_t gets = 0;
  std::uint64_t lists = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;

  bool operator==(const PlatformCounts&) const = default;
};

} // namespace mustardwinch
