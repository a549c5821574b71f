#pragma once

#include "mustardwinch/Clock.h"

#include <cstddef>

namespace mustardwinch {

/** What a caller may send, and how long it may take. */
struct HttpLimits
{
  // Defaults until a configuration is known: usual values of HTTP servers.
  std::size_t maxHeaderBytes = 16'384;
  std::size_t maxBodyBytes = 64U << 20;
  Milliseconds headerTimeout{ 5'000 }; //!< from the first byte of a request to the end of its head
  Milliseconds idleTimeout{ 30'000 };  //!< without a request on an open connection

  bool operator==(const HttpLimits&) const = default;
};

} // namespace mustardwinch
