#pragma once

#include "health/AttemptResult.h"
#include "health/FailureBackoff.h"
#include "mustardwinch/Address.h"

#include <map>

namespace mustardwinch {

/** Component that caused an attempt to fail. */
enum class FaultSource : std::uint8_t
{
  kNone, //!< success, or another cause, such as the caller
  kPath, //!< network path between ingress and gate
  kUpstream,
};

/** Attributes the result of an attempt, as observed by an ingress, to a fault source. */
FaultSource FaultSourceOf(const AttemptResult& aResult);

/**
 * Tracks at an ingress which network paths to gates fail. A failed path is avoided by this ingress
 * only, and its failures are not attributed to the upstreams behind it. Not thread safe.
 */
class PathTracker
{
public:
  void Report(const Address& aGate, const AttemptResult& aResult, TimePoint aNow);
  bool IsAvoided(const Address& aGate, TimePoint aNow) const;

private:
  std::map<Address, FailureBackoff> mPaths; //!< by gate; only paths that have failed
};

} // namespace mustardwinch
