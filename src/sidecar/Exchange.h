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
 * Handles one request of a caller from its arrival to its answer: route lookup, key check, rate
 * limit, placement and attempts. The caller is told that the request was not run only if no attempt
 * can have run.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(Ingress& aIngress, std::shared_ptr<HttpSession> aSession, HttpRequest aRequest);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();

  /** Answers the caller with the best result known now, because the process is about to exit. */
  void OnNodeExit();

private:
  /** An attempt that has no result yet. */
  struct Attempt
  {
    std::string vm;
    TimePoint begin{};
    bool mayWait = false; //!< the gate may queue the request
    GateDirectory::CancelFn cancel;
  };

  bool FindRoute();
  void AcquireRateToken(bool aMayWait);
  void OnRate(const RateVerdict& aVerdict, bool aMayWait);
  void ChargeInnerCallOfRetry();

  /** The upstream beside the node makes it: calls carry no key. */
  bool IsInnerCall() const { return mOrganisation == nullptr && mRoute->allowAnonymous; }
  void StartTimers();
  void OnHedgeTimer();
  void OnDeadline();

  /** Submits the request to the best gate; answers the caller if no gate accepts it. */
  void Place();
  bool TryPlace(bool aMayWait, bool aLastResort);
  GateCall MakeCall(bool aMayWait, bool aLastResort) const;
  void OnResult(std::uint64_t aAttempt, GateCallResult aResult);
  void OnRefused(const Attempt& aAttempt, const GateCallResult& aResult);
  void OnAnswered(GateCallResult aResult);
  void OnAttemptFailed(const GateCallResult& aResult);

  /** Retries the request if the attempt limit, the deadline and the retry budget allow it. */
  void Retry();
  bool CanRetry() const;
  void OnRetryDecision(bool aGranted);

  /** True if no attempt and no request to the retry budget is pending. */
  bool IsIdle() const { return mAttempts.empty() && !mRetryPending; }

  /** Answers the caller if nothing is pending. */
  void GiveUpIfIdle();
  void GiveUp();

  void Deliver(const HttpAnswer& aAnswer, const std::string& aWhy);
  void Fail(unsigned aStatus, const std::string& aWhy, Milliseconds aRetryAfter);
  void OnCallerDisconnected();
  void End(unsigned aStatus, const std::string& aWhy);
  Milliseconds RemainingTime() const;

  Ingress& mIngress;
  const IngressServices& mServices;
  const std::shared_ptr<std::set<Exchange*>> mOpen; //!< exchanges in progress
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
  std::string mRateDecidedBy; //!< VM that decided; empty: the local share
  bool mWaitedForGate = false;
  bool mQueued = false;        //!< a gate was allowed to queue the request
  bool mForNewVersion = false; //!< one of the requests that a roll-out sends to the new version
  bool mRetryPending = false;  //!< waiting for the decision of the shared retry budget
  bool mRetryDenied = false;
  bool mEnded = false;
  std::optional<HttpAnswer> mFailedAnswer; //!< 5xx answer, delivered if no attempt succeeds
  std::string mLastReason;
  std::string mLastVm;
  Milliseconds mExpectedWait{ 0 };
  boost::asio::steady_timer mDeadlineTimer;
  boost::asio::steady_timer mHedgeTimer;
  boost::asio::steady_timer mWaitTimer;
};

} // namespace mustardwinch
