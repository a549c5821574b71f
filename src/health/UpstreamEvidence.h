#pragma once

#include "mustardwinch/Address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardwinch {

/** One ingress's counts for one upstream over the last few seconds; sent to the upstream's gate. */
struct UpstreamEvidence
{
  Address upstream;
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  std::uint32_t slowResponses = 0; //!< much slower than this ingress's mean for the service

  bool operator==(const UpstreamEvidence&) const = default;

  /** Payload of PeerMessage::kGateEvidence. */
  std::string Encode() const;

  /** Parses the output of Encode(); nullopt on malformed input. */
  static std::optional<UpstreamEvidence> Decode(std::string_view aPayload);
};

} // namespace mustardwinch
