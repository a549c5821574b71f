#pragma once

#include "mustardwinch/Address.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** What an upstream says of itself when it announces itself to its gate. */
enum class UpstreamState : std::uint8_t
{
  kStarting,
  kReady,
  kDraining,
};

/** One announced upstream as all nodes see it: what it is and which gate owns it. */
struct UpstreamRecord
{
  std::string service;
  Address upstream;
  Address gate; //!< link address of the node that owns the upstream
  std::string failureDomain;
  std::string instance; //!< changes at every start of the upstream
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  UpstreamState state = UpstreamState::kStarting;
  bool cold = false;                 //!< the gate is still ramping the upstream
  bool ejected = false;              //!< the gate refuses all but trial requests
  std::uint8_t load = 0;             //!< slots in use at the gate, in per cent; may lag
  std::uint32_t medianLatencyUs = 0; //!< time to the first byte at the gate; 0: not known yet
  std::uint8_t failurePercent = 0;   //!< recent share of failed requests

  bool operator==(const UpstreamRecord&) const = default;
};

} // namespace mustardwinch
