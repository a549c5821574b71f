#pragma once

#include "health/LatencyHistograms.h"
#include "http/ByteBudget.h"
#include "http/HttpChannel.h"
#include "http/MemoryBudget.h"
#include "mustardwinch/Clock.h"
#include "placement/StartRateLimit.h"
#include "placement/UpstreamHealth.h"
#include "placement/WaitingQueue.h"
#include "rollout/RouteCounts.h"
#include "sidecar/AnsweredRequests.h"
#include "sidecar/ColdSettings.h"
#include "sidecar/GateCall.h"
#include "sidecar/GateCallResult.h"
#include "sidecar/HttpNames.h"
#include "sidecar/UpstreamRefusal.h"
#include "sidecar/UpstreamState.h"
#include "sidecar/WarmthProbe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mustardwinch {

/**
 * Controls all requests to the upstream beside this node: enforces its slot limit, limits the start
 * rate while it is cold, stops sending at once when it leaves, and tracks its health from the
 * outcomes. Runs on one event loop.
 */
class Gate
{
public:
  using Ticket = std::uint64_t;
  using ResultFn = std::function<void(GateCallResult)>;

  /** Configuration lookups and notifications that the node provides. */
  struct Delegate
  {
    /** Requests per second that a cold upstream of a service bears; 0: no limit. Nothing while the
     * node has no configuration: the gate starts no request then. */
    std::function<std::optional<double>(const std::string& aService)> coldRequestsPerSecond;
    std::function<bool(const std::string& aFailureDomain)> isEvacuated;
    /** The availability or the trust changed. @param aForAll false: only nodes of the same failure
     * domain need to know */
    std::function<void(bool aForAll)> onStatusChange;
    /** Path at which upstreams of a service tell whether they are cold; empty: not known. */
    std::function<std::string(const std::string& aService)> healthPath = nullptr;
    /** Whether a roll-out lets the upstream run a request. Null: always.
     * @param aMeantFor version that the ingress has chosen; empty: any */
    std::function<bool(const UpstreamAnnouncement& aUpstream, const std::string& aMeantFor)>
      mayRun = nullptr;
    /** Whether a roll-out lets the upstream run any request. Null: it does. */
    std::function<bool(const UpstreamAnnouncement& aUpstream)> isInUse = nullptr;
  };

  Gate(boost::asio::io_context& aLoop,
       Clock& aClock,
       HttpNames aNames,
       const ColdSettings& aCold,
       Delegate aDelegate,
       std::shared_ptr<MemoryBudget> aMemory = nullptr);

  void Announce(const UpstreamAnnouncement& aAnnouncement);
  void Leave(const std::string& aInstance, std::uint64_t aProcessStartMs);
  void RememberLeaving(const std::string& aInstance) { mState.RememberLeaving(aInstance); }

  /**
   * Runs, queues or refuses a request. aDone is called at most once, possibly before this returns;
   * it is not called for a request that is cancelled while it waits.
   *
   * @param aWantBody called when a request whose body follows has been assigned a slot
   */
  Ticket Submit(GateCall aCall, ResultFn aDone, std::function<void()> aWantBody = {});

  /** Supplies the body of a request that has been assigned a slot. */
  void ProvideBody(Ticket aTicket, std::string aBody);

  /** A part of the body has come: the rest is awaited anew. */
  void OnBodyPart(Ticket aTicket);

  /** Cancels a request whose result is no longer needed: a queued request is dropped, a running
   * idempotent one is aborted.
   */
  void Cancel(Ticket aTicket);

  /** Refuses all queued and new requests from now on; running ones continue. */
  void StopAccepting();

  /** Refuses requests that waited too long and detects stalled ones. Called several times per
   * second. */
  void Tick();

  /** Refuses queued requests that an evacuation or a roll-out no longer lets start. */
  void OnRestriction();

  /** The upstream has left or is given up, and none has taken its place. */
  bool HasLostUpstream() const;

  /** The upstream is available, not cold, and has not just started. */
  bool IsWarm() const;

  /** Outcomes at the upstream by route since BeginEvidence(), without those of its cold time. */
  const RouteEvidence& Evidence() const { return mEvidence; }
  void BeginEvidence() { mEvidence.clear(); }

  bool IsAvailable() const;
  UpstreamTrust Trust() const { return mHealth.TrustAt(mClock.Now()); }
  std::uint32_t Running() const { return static_cast<std::uint32_t>(mRunning.size()); }
  std::uint32_t Queued() const { return static_cast<std::uint32_t>(mQueue.Size()); }

  /** Fraction of the running requests that are retries, 0 to 1. */
  double RetryShare() const;
  const UpstreamState& State() const { return mState; }
  const UpstreamHealth& Health() const { return mHealth; }
  std::string MetricsText() const;

private:
  struct QueuedCall
  {
    GateCall call;
    ResultFn done;
    std::function<void()> wantBody;
    TimePoint deadline{};
  };

  struct ActiveCall
  {
    GateCall call;
    ResultFn done;
    TimePoint begin{};
    TimePoint deadline{};
    std::shared_ptr<HttpChannel> channel; //!< null once the answer has arrived
    AnsweredRequests answered;            //!< earlier requests on the channel
    std::unique_ptr<MemoryHolding> body;  //!< of a body that another node sends
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool pooled = false;
    bool sent = false;
    bool stalled = false; //!< already reported to the health tracker as a stall
    bool timedOut = false;
    bool cancelled = false;
    std::string instance; //!< that the request expects, once it is sent
  };

  /** An idle connection to the upstream. */
  struct PooledConnection
  {
    std::shared_ptr<HttpChannel> channel;
    AnsweredRequests answered;
    TimePoint idleSince{}; //!< when the last exchange ended
    TimePoint idleUntil{}; //!< it must not be used later
  };

  using ActivePtr = std::shared_ptr<ActiveCall>;

  /** Why the upstream may be sent no such request now, whenever the request came. */
  std::optional<ResultCode> RestrictionOn(const GateCall& aCall) const;
  std::optional<ResultCode> RefusalReason(const GateCall& aCall) const;
  bool CanStartNow(const GateCall& aCall) const;

  /** Whether one more answer of the usual size fits into the memory for answers. */
  bool HasRoomForAnswer() const;
  double StartsPerSecond(const std::string& aService) const;
  std::string HealthPath(const std::string& aService) const;

  /** Asks the upstream whether it is still warm before the bound on starts holds requests back. */
  void ProbeWarmthIfNeeded();
  void OnWarmth(const WarmthProbe::Reply& aReply);
  Milliseconds ExpectedWait(const std::string& aService, int aPriority) const;

  /** Maximum time that the request may wait in the queue. */
  Duration MaxQueueTime(const GateCall& aCall) const;
  void Refuse(const ResultFn& aDone, ResultCode aReason, Milliseconds aWait);
  void Start(Ticket aTicket, QueuedCall aQueued);
  void Send(Ticket aTicket, const ActivePtr& aActive);
  void AwaitBody(Ticket aTicket, const ActivePtr& aActive);

  /** Refuses a call that waits for its body and may no longer be sent. @return whether it did */
  bool RefuseIfRestricted(Ticket aTicket, const ActivePtr& aActive);
  void RefuseBeforeBody(Ticket aTicket, const ActivePtr& aActive, ResultCode aReason);
  void Connect(Ticket aTicket, const ActivePtr& aActive);
  void SendRequest(Ticket aTicket, const ActivePtr& aActive);
  void OnResponse(Ticket aTicket, const ActivePtr& aActive, HttpChannelResult aResult);
  GateCallResult ClassifyResult(const ActivePtr& aActive, HttpChannelResult& aResult);
  GateCallResult ClassifyAnswer(const ActivePtr& aActive,
                                HttpAnswer aAnswer,
                                RefusalVerdict aVerdict);
  void AddEvidence(const ActiveCall& aActive, const GateCallResult& aResult);
  bool BelongsTo(const std::string& aRequestId, const HttpAnswer& aAnswer);

  /** Writes down by which evidence an answer that looks like a refusal was believed or not. */
  void NoteRefusal(const ActiveCall& aActive,
                   const RefusalSigns& aSigns,
                   const GateCallResult& aResult);
  void Finish(Ticket aTicket, const ActivePtr& aActive, GateCallResult aResult);
  void StartQueued();
  Duration StallThreshold(const GateCall& aCall) const;
  bool TakePooled(ActiveCall& aActive);
  void ReleaseChannel(ActiveCall& aActive,
                      const HttpChannelResult& aResult,
                      const GateCallResult& aOutcome);
  void ClosePool();
  void OnUpstreamChange(UpstreamState::Change aChange);
  void PublishStatusIfChanged();

  boost::asio::io_context& mLoop;
  Clock& mClock;
  const HttpNames mNames;
  const ColdSettings mCold;
  const Delegate mDelegate;
  UpstreamState mState;
  UpstreamHealth mHealth;
  StartRateLimit mStarts;
  WarmthProbe mWarmth;
  WaitingQueue mQueue;
  std::map<Ticket, QueuedCall> mQueuedCalls;
  std::map<Ticket, ActivePtr> mRunning;
  const std::shared_ptr<MemoryBudget> mMemory; //!< for bodies that other nodes send
  std::shared_ptr<ByteBudget> mAnswerBytes;    //!< of the answers that are not complete
  std::vector<PooledConnection> mPool;         //!< most recently used last
  LatencyHistograms mLatencies{ "mw_gate_answer_seconds" };
  std::uint64_t mDroppedAnswers = 0;      //!< that belonged to another request
  std::uint64_t mBelievedRefusals = 0;    //!< answers that were taken for "not run"
  std::uint64_t mHeldByBound = 0;         //!< requests refused or queued while slots were free
  std::uint64_t mDisbelievedRefusals = 0; //!< answers that looked so and were not
  TimePoint mDownUntil{}; //!< no connection is attempted until then, after a failed one
  double mSmoothedAnswerBytes = 0;
  double mSmoothedAnswerMs; //!< exponentially smoothed time of a successful answer
  RouteEvidence mEvidence;
  TimePoint mUpstreamSince{}; //!< when the present process of the upstream announced itself
  Ticket mNextTicket = 1;
  bool mAccepting = true;
  bool mLastAvailable = false;
  UpstreamTrust mLastTrust = UpstreamTrust::kTrusted;
};

} // namespace mustardwinch
