#pragma once

#include "mustardwinch/ResultCode.h"

namespace mustardwinch {

/** Admission result for one request: kOk, kRateExceeded or kRateUnconfirmed. */
struct RateDecision
{
  ResultCode code = ResultCode::kOk;

  bool operator==(const RateDecision&) const = default;
};

} // namespace mustardwinch
