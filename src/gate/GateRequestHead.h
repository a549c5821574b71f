#pragma once

#include "gate/HttpHeader.h"
#include "mustardwinch/Address.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Length of a chunked body, which is not known in advance. */
inline constexpr std::int64_t kUnknownLength = -1;

/** Request head that an ingress sends to a gate before the body. */
struct GateRequestHead
{
  std::string service;
  Address upstream;
  std::string organisation; //!< empty on routes that allow anonymous callers
  std::string requestId;
  std::string method;
  std::string target; //!< path and query as the caller sent them
  HttpHeaders headers;
  std::uint32_t deadlineMs = 0; //!< remaining time
  bool idempotent = false;
  bool hasBody = false;
  std::int64_t bodyLength = 0; //!< bytes, or kUnknownLength

  bool operator==(const GateRequestHead&) const = default;
};

} // namespace mustardwinch
