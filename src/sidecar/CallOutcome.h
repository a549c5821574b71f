#pragma once

#include <cstdint>

namespace mustardwinch {

/** Outcome of a request that was submitted to a gate. */
enum class CallOutcome : std::uint8_t
{
  kAnswered, //!< the upstream ran it and its complete answer was received
  kRefused,  //!< it was not sent to the upstream and will not be
  kShed,     //!< the upstream reported that it did not run it
  kFailed,   //!< it was sent and may have run
  kTimedOut, //!< it was sent and may have run, and its deadline passed
};

} // namespace mustardwinch
