#pragma once

#include <cstdint>

namespace mustardwinch {

/** How new the store's answer must be. */
enum class Freshness : std::uint8_t
{
  kNewest,
  kMayLag, //!< may be seconds old; costs a tenth
};

} // namespace mustardwinch
