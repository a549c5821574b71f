#pragma once

#include "mustardwinch/Clock.h"
#include "placement/UpstreamTrust.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** What an ingress knows of a gate and the upstream beside it. */
struct GateView
{
  std::string vm;
  std::string service;
  std::string failureDomain;
  bool self = false;      //!< the gate of this very node
  bool available = false; //!< the upstream takes new requests
  UpstreamTrust trust = UpstreamTrust::kTrusted;
  bool pathSuspected = false; //!< nothing was heard on the link for too long
  std::uint32_t running = 0;  //!< requests at the upstream, as the gate last said
  std::uint32_t queued = 0;   //!< requests that wait at the gate, as it last said
  std::uint32_t slots = 1;
  std::uint32_t outstanding = 0; //!< requests of this ingress that the gate has not answered
  double latencyRatio = 0;
  double grayProbability = 0;        //!< probability that the upstream fails gray
  TimePoint lastChosen{}; //!< when this ingress last sent a request there
  TimePoint fullUntil{};  //!< the gate refused for want of a slot; not asked again before

  bool operator==(const GateView&) const = default;
};

} // namespace mustardwinch
