#pragma once

#include "mustardwinch/Clock.h"

#include <cstddef>

namespace mustardwinch {

/** Bounds of the HTTP client of the platform. */
struct HttpPlatformOptions
{
  Milliseconds connectTimeout{ 500 };
  Milliseconds callTimeout{ 3'000 };  //!< a get or a write
  Milliseconds listTimeout{ 15'000 }; //!< a list, which may hold every organisation
  Milliseconds watchSlack{ 3'000 };   //!< how much later than its wait a watch may answer
  std::size_t maxAnswerBytes = 256 * 1024 * 1024;

  bool operator==(const HttpPlatformOptions&) const = default;
};

} // namespace mustardwinch
