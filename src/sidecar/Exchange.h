#pragma once

#include "http/HttpAnswer.h"
#include "http/HttpRequest.h"
#include "http/HttpSession.h"
#include "mustardwinch/Clock.h"
#include "placement/PlacementRequest.h"
#include "routing/RoutingTable.h"
#include "sidecar/GateCallResult.h"
#include "sidecar/GateDirectory.h"
#include "sidecar/Ingress.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace mustardwinch {

/**
 * One request of a caller from its arrival to its answer: route, key, rate, placement, attempts.
 * A refusal as "not run" is sent only while no attempt can have run.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(Ingress& aIngress, std::shared_ptr<HttpSession> aSession, HttpRequest aRequest);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();

  /** The process is about to end, so the caller gets what can be said now. */
  void OnNodeExit();

private:
  /** An attempt that has no result yet. */
  struct Attempt
  {
    std::string vm;
    TimePoint begin{};
    bool mayWait = false; //!< in the gate's queue
    GateDirectory::CancelFn cancel;
  };

  bool FindRoute();
  void AcquireRateToken(bool aMayWait);
  void OnRate(const RateVerdict& aVerdict, bool aMayWait);
  void ChargeInnerCallOfRetry();
  void StartTimers();
  void OnHedgeTimer();

  /** Hands the request to the best gate; answers the caller if none can take it. */
  void Place();
  bool TryPlace(bool aMayWait, bool aLastResort);
  GateCall MakeCall(bool aMayWait, bool aLastResort) const;
  void OnResult(std::uint64_t aAttempt, GateCallResult aResult);
  void OnRefused(const Attempt& aAttempt, const GateCallResult& aResult);
  void OnAnswered(GateCallResult aResult);
  void OnAttemptFailed(const GateCallResult& aResult);

  /** Sends the request to one more upstream if attempts, time and the retry budget allow. */
  void Retry();
  bool CanRetry() const;
  void OnRetryDecision(bool aGranted);

  /** Nothing is under way: no attempt and no ask for a repeat. */
  bool IsIdle() const { return mAttempts.empty() && !mRetryPending; }

  /** Answers the caller if nothing is under way. */
  void GiveUpIfIdle();
  void GiveUp();

  void Deliver(const HttpAnswer& aAnswer, const std::string& aWhy);
  void Fail(unsigned aStatus, const std::string& aWhy, Milliseconds aRetryAfter);
  void OnCallerDisconnected();
  void End(unsigned aStatus, const std::string& aWhy);
  Milliseconds RemainingTime() const;

  Ingress& mIngress;
  const IngressServices& mServices;
  const std::shared_ptr<std::set<Exchange*>> mOpen; //!< exchanges under way
  const std::shared_ptr<HttpSession> mSession;
  HttpRequest mRequest;
  const TimePoint mStartTime;
  TimePoint mDeadline{};
  std::shared_ptr<const RoutingTable> mRouting;
  const TrafficRoute* mRoute = nullptr;
  const TrafficOrganisation* mOrganisation = nullptr;
  std::string mService;
  std::string mRequestId;
  PlacementRequest mPlacement;
  std::map<std::uint64_t, Attempt> mAttempts;
  std::uint64_t mNextAttempt = 1;
  std::uint32_t mSent = 0;    //!< attempts that reached an upstream, or may have
  std::uint32_t mRefused = 0; //!< gates that refused
  bool mMayHaveRun = false;
  std::string mRateCounterVm; //!< VM that counted the request; empty: the node spent its own part
  bool mWaitedForGate = false;
  bool mQueued = false;       //!< a gate was asked to queue the request
  bool mRetryPending = false; //!< the retry budget has been asked
  bool mRetryDenied = false;
  bool mEnded = false;
  std::optional<HttpAnswer> mFailedAnswer; //!< an upstream's own failure, if nothing better comes
  std::string mLastReason;
  std::string mLastVm;
  Milliseconds mExpectedWait{ 0 };
  boost::asio::steady_timer mDeadlineTimer;
  boost::asio::steady_timer mHedgeTimer;
  boost::asio::steady_timer mWaitTimer;
};

} // namespace mustardwinch
