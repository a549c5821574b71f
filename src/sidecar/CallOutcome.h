#pragma once

#include <cstdint>

namespace mustardwinch {

/** Outcome of a request that was submitted to a gate. */
enum class CallOutcome : std::uint8_t
{
  kAnswered, //!< the upstream ran it and its complete answer was received
  kRefused,  //!< not run: it was not sent, or another instance than the expected one rejected it
  kShed,     //!< not run: the expected upstream reported that it did not run it
  kFailed,   //!< it was sent and may have run
  kTimedOut, //!< it was sent and may have run, and its deadline passed
};

} // namespace mustardwinch
