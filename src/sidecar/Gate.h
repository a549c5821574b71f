#pragma once

#include "health/LatencyHistograms.h"
#include "http/HttpChannel.h"
#include "mustardwinch/Clock.h"
#include "placement/StartRateLimit.h"
#include "placement/UpstreamHealth.h"
#include "placement/WaitingQueue.h"
#include "sidecar/ColdSettings.h"
#include "sidecar/GateCall.h"
#include "sidecar/GateCallResult.h"
#include "sidecar/HttpNames.h"
#include "sidecar/UpstreamState.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace mustardwinch {

/**
 * The only way to the upstream beside this node: counts its slots, spares it while it is cold,
 * stops sending at once when it leaves, and judges it by the outcomes. Runs on one event loop.
 */
class Gate
{
public:
  using Ticket = std::uint64_t;
  using ResultFn = std::function<void(GateCallResult)>;

  /** What the gate asks of the configuration in force. */
  struct Surroundings
  {
    std::function<double(const std::string& aService)> coldRequestsPerSecond;
    std::function<bool(const std::string& aFailureDomain)> isEvacuated;
    /** The availability or the trust changed. @param aForAll nodes of other domains decide by it */
    std::function<void(bool aForAll)> onStatusChange;
  };

  Gate(boost::asio::io_context& aLoop,
       Clock& aClock,
       HttpNames aNames,
       const ColdSettings& aCold,
       Surroundings aSurroundings);

  void Announce(const UpstreamAnnouncement& aAnnouncement);
  void Leave(const std::string& aInstance, std::uint64_t aBorn);
  void RememberLeaving(const std::string& aInstance) { mState.RememberLeaving(aInstance); }

  /**
   * Runs or queues a request. aDone is called once, later or before this returns.
   *
   * @param aWantBody called when a request whose body follows has got its slot
   */
  Ticket Submit(GateCall aCall, ResultFn aDone, std::function<void()> aWantBody = {});

  /** The body of a request that has its slot. */
  void GiveBody(Ticket aTicket, std::string aBody);

  /** The result is no longer wanted: a queued request is dropped, a running idempotent one ended.
   */
  void Cancel(Ticket aTicket);

  /** From now on all new and queued requests are refused; running ones go on. */
  void StopAccepting();

  /** Refuses requests that waited too long. Called a few times a second. */
  void Tick();

  /** Queued requests are refused if the failure domain takes no new work now. */
  void OnEvacuation();

  bool IsAvailable() const;
  UpstreamTrust Trust() const { return mHealth.TrustAt(mClock.Now()); }
  std::uint32_t Running() const { return static_cast<std::uint32_t>(mRunning.size()); }
  std::uint32_t Queued() const { return static_cast<std::uint32_t>(mQueue.Size()); }

  /** Part of the running requests that were sent to an upstream before, 0 to 1. */
  double RepeatShare() const;
  const UpstreamState& State() const { return mState; }
  const UpstreamHealth& Health() const { return mHealth; }
  std::string MetricsText() const { return mTimes.Text(); }

private:
  struct Waiting
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
    std::shared_ptr<HttpChannel> channel; //!< none once the answer has come
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool pooled = false;
    bool sent = false;
    bool late = false; //!< the upstream has been blamed for its slowness
    bool timedOut = false;
    bool cancelled = false;
  };

  using ActivePtr = std::shared_ptr<ActiveCall>;

  std::optional<ResultCode> WhyNot(const GateCall& aCall) const;
  bool HasRoom(const GateCall& aCall) const;
  double StartsPerSecond(const std::string& aService) const;
  Milliseconds ExpectedWait(const std::string& aService, int aPriority) const;

  /** How long the request may wait here. */
  Duration Patience(const GateCall& aCall) const;
  void Refuse(const ResultFn& aDone, ResultCode aReason, Milliseconds aWait);
  void Start(Ticket aTicket, Waiting aWaiting);
  void Send(Ticket aTicket, const ActivePtr& aRun);
  void AwaitBody(Ticket aTicket, const ActivePtr& aRun);
  void Connect(Ticket aTicket, const ActivePtr& aRun);
  void Exchange(Ticket aTicket, const ActivePtr& aRun);
  void OnExchanged(Ticket aTicket, const ActivePtr& aRun, HttpChannelResult aResult);
  GateCallResult Judge(const ActivePtr& aRun, HttpChannelResult& aResult);
  GateCallResult JudgeAnswer(const ActivePtr& aRun, HttpAnswer aAnswer);
  void Finish(Ticket aTicket, const ActivePtr& aRun, GateCallResult aResult);
  void StartWaiting();
  Duration StallTime(const GateCall& aCall) const;
  std::shared_ptr<HttpChannel> TakePooled(bool aIdempotent);
  void ClosePool();
  void AfterChange(UpstreamState::Change aChange);
  void NoteStatus();

  boost::asio::io_context& mLoop;
  Clock& mClock;
  const HttpNames mNames;
  const ColdSettings mCold;
  const Surroundings mSurroundings;
  UpstreamState mState;
  UpstreamHealth mHealth;
  StartRateLimit mStarts;
  WaitingQueue mQueue;
  std::map<Ticket, Waiting> mWaiting;
  std::map<Ticket, ActivePtr> mRunning;
  std::vector<std::shared_ptr<HttpChannel>> mPool; //!< idle connections, the latest used last
  LatencyHistograms mTimes{ "mw_gate_answer_seconds" };
  TimePoint mDownUntil{}; //!< the upstream accepted no connection
  double mWorkMs;         //!< smoothed time of an answer
  Ticket mNext = 1;
  bool mAccepting = true;
  bool mLastAvailable = false;
  UpstreamTrust mLastTrust = UpstreamTrust::kTrusted;
};

} // namespace mustardwinch
