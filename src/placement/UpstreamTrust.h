#pragma once

#include <cstdint>

namespace mustardwinch {

/** How reliable an upstream is, judged by the outcomes of its recent requests. */
enum class UpstreamTrust : std::uint8_t
{
  kTrusted,   //!< receives all requests
  kTrialDue,  //!< receives one idempotent request as a trial
  kSuspected, //!< receives requests only if no other upstream can
};

} // namespace mustardwinch
