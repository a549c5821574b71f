#pragma once

#include "config/ConfigSource.h"
#include "health/RetryPolicy.h"
#include "health/UpstreamPicker.h"
#include "ingress/CallerExchange.h"
#include "limits/RateLimiter.h"
#include "link/PeerLinks.h"
#include "membership/Freshness.h"
#include "mustardwinch/Clock.h"

#include <functional>
#include <memory>
#include <string>

namespace mustardwinch {

class PeerStream;

/** Takes a caller's request through route, key, rate, upstream and gate to its answer. */
class Forwarder
{
public:
  struct Parts
  {
    Clock& clock;
    const ConfigSource& config;
    UpstreamPicker& picker;
    RetryPolicy& retries;
    RateLimiter& limiter;
    PeerLinks& links;
    std::function<Freshness()> freshness;
    std::string vmName;
  };

  explicit Forwarder(Parts aParts);

  /** Serves one request on the calling thread; always answers or breaks the connection. */
  void Serve(CallerExchange& aExchange);

  /** From now on answers kNodeStopping to new requests. */
  void StopAccepting() { mStopping = true; }

private:
  struct Request;

  ResultCode Prepare(CallerExchange& aExchange, Request& aRequest) const;
  ResultCode Authorise(const CallerExchange& aExchange, Request& aRequest) const;
  void RunAttempts(CallerExchange& aExchange, Request& aRequest);
  AttemptResult RunAttempt(CallerExchange& aExchange,
                           Request& aRequest,
                           const UpstreamRecord& aUpstream);
  bool MayRetry(const CallerExchange& aExchange,
                const Request& aRequest,
                const AttemptResult& aResult,
                int aAttempts);
  std::string NextRequestId();

  Parts mParts;
  std::atomic<bool> mStopping{ false };
  std::atomic<std::uint64_t> mRequests{ 0 };
  const std::string mIdPrefix;
};

} // namespace mustardwinch
