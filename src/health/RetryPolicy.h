#pragma once

#include "health/LatencyQuantile.h"
#include "health/RetryBudget.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/Outcome.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace mustardwinch {

/**
 * Decides at an ingress whether a request gets another attempt, after a failure or as a hedge.
 * Thread safe.
 */
class RetryPolicy
{
public:
  explicit RetryPolicy(Clock& aClock);

  /** Adds retry budget for a caller's request. Call once per request. */
  void OnRequest(const std::string& aService);

  /** Records the latency of a complete response, from which the hedge delay is derived. */
  void OnAnswer(const std::string& aService, Duration aLatency);

  /**
   * Whether a request that ended with aOutcome may be retried; consumes budget if so. Requests that
   * are not idempotent are retried only after Outcome::kNotRun.
   *
   * @param aDeadline the caller's deadline; no attempt starts with too little time left to end
   * before it
   * @param aAttempts attempts already made
   */
  bool MayRetry(const std::string& aService,
                Outcome aOutcome,
                bool aIdempotent,
                TimePoint aDeadline,
                int aAttempts);

  /**
   * How long to wait for the first byte of the first attempt before hedging; nullopt if the request
   * must not be hedged or there are too few latency samples of the service.
   */
  std::optional<Duration> HedgeDelay(const std::string& aService,
                                     bool aIdempotent,
                                     std::size_t aBodyBytes) const;

  /** Whether a hedge may start after the hedge delay; consumes budget if so. */
  bool MayHedge(const std::string& aService, TimePoint aDeadline);

private:
  struct ServiceState
  {
    RetryBudget budget;
    LatencyQuantile hedgeLatency; //!< estimates the latency after which a request is hedged
  };

  ServiceState& StateOf(const std::string& aService);

  Clock& mClock;
  mutable std::mutex mMutex;
  std::map<std::string, ServiceState> mServices;
};

} // namespace mustardwinch
