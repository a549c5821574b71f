#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/ResultCode.h"

#include <cstdint>

namespace mustardwinch {

/** Result of one attempt to run a request on an upstream. */
struct AttemptResult
{
  ResultCode code = ResultCode::kOk; //!< kOk: a complete response with a status below 500
  int status = 0;                    //!< HTTP status; 0 if no response began
  Duration firstByte{};              //!< from dispatch to the first byte of the response
  Duration total{};                  //!< from dispatch to the end of the response
  bool pooledConnection = false;     //!< the attempt reused a pooled connection
  bool pathFailed = false; //!< at an ingress: the gate stopped responding or the link to it failed

  bool operator==(const AttemptResult&) const = default;
};

} // namespace mustardwinch
