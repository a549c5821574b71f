#pragma once

#include <cstdint>

namespace mustardwinch {

/** How far an upstream can be relied on, from the requests that it ran lately. */
enum class UpstreamTrust : std::uint8_t
{
  kTrusted,   //!< takes all requests
  kTrialDue, //!< takes one idempotent request now, to see how it fares
  kSuspected, //!< takes requests only if no other upstream does
};

} // namespace mustardwinch
