#pragma once

#include "config/ConfigSource.h"
#include "gate/Announcement.h"
#include "gate/GateRequest.h"
#include "gate/GateUpstream.h"
#include "gate/GateUpstreamStatus.h"
#include "health/AttemptResult.h"
#include "health/LatencyHistograms.h"
#include "health/LatencyQuantile.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/ResultCode.h"
#include "mustardwinch/UpstreamRecord.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Schedules the requests to this node's upstreams: slots, cold-start ramp, queues and drain. Every
 * request to such an upstream passes through here, so the count of running requests is exact.
 * Thread safe.
 *
 * Lock order: the scheduler's lock is taken alone, and it is released before callbacks run and
 * histograms are updated.
 */
class GateScheduler
{
public:
  using Ticket = std::uint64_t;

  GateScheduler(Clock& aClock,
                const ConfigSource& aConfig,
                Address aGate,
                std::string aFailureDomain);

  /** Handles an announcement, which an upstream repeats about once a second while it runs. */
  void Announce(const Announcement& aAnnouncement);

  /** Queues a request. The callback of aRequest may run before this returns. */
  Ticket Submit(const Address& aUpstream, GateRequest aRequest);

  /** Removes a queued request, whose callback then never runs. False if it is not queued. */
  bool Cancel(const Address& aUpstream, Ticket aTicket);

  /**
   * Releases the slot of a started request. Must be called once for each.
   *
   * @param aOrganisation organisation of the request, which is charged for the slot time
   */
  void Finish(const Address& aUpstream,
              const AttemptResult& aResult,
              const std::string& aOrganisation = {});

  /**
   * Refuses requests past their deadline and removes upstreams that no longer announce themselves.
   * To be called every 50 ms.
   */
  void Tick();

  /** Refuses all queued and later requests as not run; started requests continue. */
  void StopAccepting();

  /** Number of requests that hold a slot. */
  std::size_t Running() const;

  /** Records of the upstreams that this gate owns, for membership to distribute. */
  std::vector<UpstreamRecord> Records() const;

  /** Sets the summary of the service's other upstreams, with which the detector compares. */
  void SetPeers(const Address& aUpstream, const PeerSummary& aPeers);

  /** Ejects an upstream, which then gets only trial requests, or returns it with a ramp. */
  void SetEjected(const Address& aUpstream, bool aEjected);

  std::vector<GateUpstreamStatus> Status() const;

  /** True if the pooled connections should be closed and the next request use a new one. */
  bool ShouldDropPool(const Address& aUpstream) const;

  /** Queue and response times by organisation and service, in the Prometheus text format. */
  std::string MetricsText() const;

private:
  /** Median time of complete responses of a service, valid while responses are recent. */
  struct ServiceTimes
  {
    LatencyQuantile median{ 0.5 };
    TimePoint last{};
  };

  GateContext MakeContext(const ConfigSnapshot& aConfig, const std::string& aService) const;
  void ApplyDecisions(const GateDecisions& aDecisions, const std::string& aService);

  Clock& mClock;
  const ConfigSource& mConfig;
  const Address mGate;
  const std::string mFailureDomain;
  LatencyHistograms mQueueTimes{ "mw_gate_queue_seconds" };
  LatencyHistograms mResponseTimes{ "mw_gate_answer_seconds" };
  mutable std::mutex mMutex;
  std::map<Address, GateUpstream> mUpstreams;
  std::map<std::string, ServiceTimes> mServiceTimes;
  Ticket mNextTicket = 1;
  bool mAccepting = true;
};

} // namespace mustardwinch
