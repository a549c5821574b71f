#pragma once

#include "http/HttpAnswer.h"
#include "mustardwinch/Clock.h"
#include "soak/PromiseBounds.h"
#include "soak/SoakRequest.h"
#include "soak/SoakRunBegin.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardwinch::soak {

/**
 * Judges the promises to callers, upstreams and operators while a run goes on, only from what these
 * three see. Times are handed in, so tests replay a broken history for each promise.
 */
class PromiseJudge
{
public:
  explicit PromiseJudge(PromiseBounds aBounds = {})
    : mBounds(aBounds)
  {
  }

  void OnSent(const SoakRequest& aRequest, TimePoint aNow);
  void OnRun(const SoakRunBegin& aRun, TimePoint aNow);
  void OnAnswer(const std::string& aId, const HttpAnswer& aAnswer, TimePoint aNow);
  /** The connection ended before a whole answer came; the caller had not given up. */
  void OnCut(const std::string& aId, TimePoint aNow);

  /** A fault touches a node until aUntil. */
  void OnNodeFault(std::size_t aNode, TimePoint aUntil);
  void OnStoreFault(TimePoint aUntil);
  /** A stop signal, with no other fault. */
  void OnStopSignal(std::size_t aNode, TimePoint aNow);
  /** A process of the node runs from now on. */
  void OnNodeStart(std::size_t aNode, TimePoint aNow);
  /** A process ended that nobody had killed. @param aCode of its exit, or 128 and the signal */
  void OnExit(std::size_t aNode, int aCode, TimePoint aNow);

  void OnRate(const std::string& aOrganisation, double aPerSecond, double aBurst);
  void OnKeyWithdrawn(const std::string& aKey, TimePoint aNow);
  /** A key was added; until then no configuration had it. */
  void OnKeyAdded(const std::string& aKey, TimePoint aNow);
  /** A configuration with one more route was acknowledged. */
  void OnRouteAdded(const std::string& aRoute, TimePoint aNow);
  void OnEvacuated(const std::string& aFailureDomain, bool aOut, TimePoint aNow);
  /** A node acknowledged that an instance leaves. */
  void OnLeaveAcknowledged(const std::string& aInstance, TimePoint aNow);
  void OnColdStart(const std::string& aInstance, TimePoint aColdUntil, double aPerSecond);

  /** One line each. */
  const std::vector<std::string>& Violations() const { return mViolations; }
  std::size_t Runs() const { return mRuns; }

private:
  struct Request
  {
    SoakRequest sent;
    TimePoint at{};
    std::uint32_t runs = 0;
    std::set<std::string> instances; //!< that ran it
    bool ended = false;
    bool refused = false; //!< the caller was told that it has not run and never will
  };

  struct Cold
  {
    TimePoint until{};
    double perSecond = 0;
    std::deque<TimePoint> starts;
  };

  struct Rate
  {
    double perSecond = 0;
    double burst = 0;
    std::deque<TimePoint> runs;
  };

  void Break(const std::string& aPromise, const std::string& aDetail, TimePoint aNow);
  bool IsCalm(std::size_t aNode, TimePoint aNow) const;
  bool IsStoreCalm(TimePoint aNow) const;
  void CheckAtMostOnce(const Request& aRequest, TimePoint aNow);
  void CheckHeaders(const Request& aRequest, const SoakRunBegin& aRun, TimePoint aNow);
  void CheckPlace(const Request& aRequest, const SoakRunBegin& aRun, TimePoint aNow);
  void CheckKey(const Request& aRequest, TimePoint aNow);
  void CheckRate(const std::string& aOrganisation, TimePoint aNow);
  void CheckCold(const std::string& aInstance, TimePoint aNow);
  void CheckDenial(const Request& aRequest, unsigned aStatus, TimePoint aNow);
  void CheckAddedRoute(const Request& aRequest, unsigned aStatus, TimePoint aNow);
  bool IsAddedLately(const std::map<std::string, TimePoint>& aAdded,
                     const std::string& aName,
                     const Request& aRequest,
                     TimePoint aNow) const;
  void CheckSuccess(const Request& aRequest, const HttpAnswer& aAnswer, TimePoint aNow);

  const PromiseBounds mBounds;
  std::map<std::string, Request> mRequests;
  std::map<std::size_t, TimePoint> mNodeFaultUntil;
  std::map<std::size_t, TimePoint> mStopSignal;
  std::map<std::size_t, TimePoint> mStarted;
  std::map<std::size_t, std::uint64_t> mIncarnation;
  TimePoint mStoreFaultUntil{};
  std::map<std::string, Rate> mRates;
  std::map<std::string, TimePoint> mWithdrawn;
  std::map<std::string, TimePoint> mKeyAdded;
  std::map<std::string, TimePoint> mRouteAdded;
  /** Incarnation of each node that has known an added route. */
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> mRouteKnown;
  std::map<std::string, TimePoint> mEvacuated;
  std::map<std::string, TimePoint> mLeaving;
  std::map<std::string, Cold> mCold;
  /** Since when an incarnation of a node refuses a key: it knows the newer configuration. */
  std::map<std::pair<std::size_t, std::string>, std::pair<std::uint64_t, TimePoint>> mKeyRefused;
  std::map<std::size_t, std::uint32_t> mCuts; //!< of calm nodes
  std::vector<std::string> mViolations;
  std::size_t mRuns = 0;
};

/** The answer that an upstream gives to a request, so that any other is recognised. */
std::string BodyFor(const std::string& aId);
std::string SignatureFor(const std::string& aId, const std::string& aInstance);

} // namespace mustardwinch::soak
