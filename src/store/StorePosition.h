#pragma once

#include <compare>
#include <cstdint>

namespace mustardwinch {

/**
 * A point in the life of the platform's store. Revisions count within one history only: a store
 * that comes back from a copy gives some of them out again, in a history with a greater epoch.
 */
struct StorePosition
{
  std::uint64_t epoch = 0; //!< number of the history; 0 if the store does not tell it
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

} // namespace mustardwinch
