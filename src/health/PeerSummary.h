#pragma once

#include "membership/UpstreamDirectory.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <cstddef>

namespace mustardwinch {

/** Baseline of a service: medians over the peers of one upstream. */
struct PeerSummary
{
  std::size_t peerCount = 0; //!< peers with enough traffic to have a median latency
  Duration medianLatency{};  //!< median of the peers' median latencies to the first byte
  double failureShare = 0;   //!< median share of failed requests, 0 to 1

  bool operator==(const PeerSummary&) const = default;
};

/** Summarises the ready, not ejected peers of aUpstream; aUpstream itself is excluded. */
PeerSummary SummarisePeers(const UpstreamDirectory::List& aService, const Address& aUpstream);

} // namespace mustardwinch
