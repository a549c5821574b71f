#include "health/PeerSummary.h"

#include <algorithm>
#include <vector>

namespace mustardwinch {
namespace {

template<typename T>
T MedianOf(std::vector<T>& aValues)
{
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

PeerSummary SummarisePeers(const UpstreamDirectory::List& aService, const Address& aUpstream)
{
  std::vector<std::uint32_t> latencies;
  std::vector<std::uint8_t> failures;
  for (const UpstreamRecord& it : *aService) {
    const bool eligible =
      it.state == UpstreamState::kReady && !it.ejected && it.medianLatencyUs > 0;
    if (eligible && it.upstream != aUpstream) {
      latencies.push_back(it.medianLatencyUs);
      failures.push_back(it.failurePercent);
    }
  }
  if (latencies.empty()) {
    return {};
  }
  PeerSummary summary;
  summary.peerCount = latencies.size();
  summary.medianLatency = std::chrono::microseconds(MedianOf(latencies));
  summary.failureShare = MedianOf(failures) / 100.0;
  return summary;
}

} // namespace mustardwinch
