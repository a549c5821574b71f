#pragma once

#include <cstdint>
#include <limits>

namespace mustardwinch {

/** An ingress's report on an earlier grant. */
struct GrantEntry
{
  /** Value of `returned` for all tokens of a grant whose reply the ingress no longer accepts. */
  static constexpr std::uint32_t kAll = std::numeric_limits<std::uint32_t>::max();

  std::uint64_t sequence = 0; //!< sequence number of the grant's request
  std::uint32_t held = 0;     //!< tokens that the ingress may still spend
  std::uint32_t returned = 0; //!< unused tokens returned; only if `held` is 0

  bool operator==(const GrantEntry&) const = default;
};

} // namespace mustardwinch
