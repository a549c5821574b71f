#pragma once

#include "gate/GateRequestHead.h"
#include "gate/HttpHeader.h"

#include <cstdint>

namespace mustardwinch {

/** Head of an upstream's response. */
struct GateResponseHead
{
  int status = 0;
  HttpHeaders headers;
  std::int64_t bodyLength = kUnknownLength;

  bool operator==(const GateResponseHead&) const = default;
};

} // namespace mustardwinch
