#pragma once

#include <cstdint>

namespace mustardwinch {

/** What a caller may assume of a request that was not answered by an upstream. */
enum class Outcome : std::uint8_t
{
  kNone,    //!< not about a caller's request
  kNotRun,  //!< certainly not run; may be retried elsewhere
  kRan,     //!< certainly run
  kUnknown, //!< may have run; only idempotent requests may be retried
};

} // namespace mustardwinch
