#pragma once

#include "health/UpstreamVerdict.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace mustardwinch {

/** Status of one upstream at its gate, for the ejection controller and for operators. */
struct GateUpstreamStatus
{
  std::string service;
  Address upstream;
  std::string instance;
  std::uint32_t running = 0;
  std::size_t waiting = 0;
  std::uint32_t limit = 0; //!< maximum number of concurrent requests
  std::uint32_t slots = 0;
  bool cold = false;
  bool ejected = false;
  bool passedTrials = false; //!< ejected, and its trial requests have passed
  bool distrustsPool = false;
  UpstreamVerdict verdict;
  Duration medianLatency{};
  double failureShare = 0;

  bool operator==(const GateUpstreamStatus&) const = default;
};

} // namespace mustardwinch
