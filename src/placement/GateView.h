#pragma once

#include "mustardwinch/Clock.h"
#include "placement/UpstreamTrust.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** The state of a gate and its upstream as an ingress sees it. */
struct GateView
{
  std::string vm;
  std::string service;
  std::string version; //!< of the upstream's software
  std::string failureDomain;
  bool self = false;      //!< the gate is on the same node as the ingress
  bool available = false; //!< the upstream accepts new requests
  UpstreamTrust trust = UpstreamTrust::kTrusted;
  bool pathSuspected = false; //!< the link has been silent for too long
  std::uint32_t running = 0;  //!< requests at the upstream, last reported by the gate
  std::uint32_t queued = 0;   //!< requests queued at the gate, last reported by the gate
  std::uint32_t slots = 1;
  std::uint32_t outstanding = 0; //!< requests from this ingress without a response yet
  double latencyRatio = 0;
  double grayProbability = 0; //!< probability that the upstream has a gray failure
  TimePoint lastChosen{};     //!< when this ingress last sent a request there
  TimePoint fullUntil{};      //!< the gate had no free slot; costs more until then

  bool operator==(const GateView&) const = default;
};

} // namespace mustardwinch
