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
 * The exact count of each upstream beside this node: slots, cold-start ramp, queues, drain.
 * Every request to such an upstream passes through here. Safe for several threads.
 *
 * Lock order: the scheduler's lock is taken alone; callbacks run and histograms are filled without.
 */
class GateScheduler
{
public:
  using Ticket = std::uint64_t;

  GateScheduler(Clock& aClock,
                const ConfigSource& aConfig,
                Address aGate,
                std::string aFailureDomain);

  /** An upstream announced itself; repeated about once a second while it runs. */
  void Announce(const Announcement& aAnnouncement);

  /** Queues a request. The callback of aRequest may run before this returns. */
  Ticket Submit(const Address& aUpstream, GateRequest aRequest);

  /** Takes a request that still waits out of its queue; its callback then never runs. True if so.
   */
  bool Cancel(const Address& aUpstream, Ticket aTicket);

  /**
   * Gives back the slot of a request that had started, once for each.
   *
   * @param aOrganisation of the request; it is charged for the slot time
   */
  void Finish(const Address& aUpstream,
              const AttemptResult& aResult,
              const std::string& aOrganisation = {});

  /** Refuses work past its deadline and forgets upstreams that fell silent. Every 50 ms. */
  void Tick();

  /** From now on refuses all new and queued work as not run; started requests go on. */
  void StopAccepting();

  /** Requests that have a slot now. */
  std::size_t Running() const;

  /** The records that this gate owns, for membership to pass on. */
  std::vector<UpstreamRecord> Records() const;

  /** What the service's other upstreams are like; the detector compares against it. */
  void SetPeers(const Address& aUpstream, const PeerSummary& aPeers);

  /** Refuses all but trial requests to an upstream, or lets it return with a ramp. */
  void SetEjected(const Address& aUpstream, bool aEjected);

  std::vector<GateUpstreamStatus> Status() const;

  /** Whether the next request to the upstream should use a new connection and the pool be closed.
   */
  bool ShouldDropPool(const Address& aUpstream) const;

  /** Time in queue and time of answers by organisation and service, in Prometheus text. */
  std::string MetricsText() const;

private:
  /** How long whole answers of a service take, as long as some came lately. */
  struct ServiceTimes
  {
    LatencyQuantile median{ 0.5 };
    TimePoint last{};
  };

  GateMoment Moment(const ConfigSnapshot& aConfig, const std::string& aService) const;
  void Run(const GateActions& aActions, const std::string& aService);

  Clock& mClock;
  const ConfigSource& mConfig;
  const Address mGate;
  const std::string mFailureDomain;
  LatencyHistograms mQueueTimes{ "mw_gate_queue_seconds" };
  LatencyHistograms mAnswerTimes{ "mw_gate_answer_seconds" };
  mutable std::mutex mMutex;
  std::map<Address, GateUpstream> mUpstreams;
  std::map<std::string, ServiceTimes> mServiceTimes;
  Ticket mNextTicket = 1;
  bool mAccepting = true;
};

} // namespace mustardwinch
