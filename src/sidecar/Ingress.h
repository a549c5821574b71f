#pragma once

#include "health/LatencyHistograms.h"
#include "http/HttpRequest.h"
#include "http/HttpSession.h"
#include "placement/PlacementPolicy.h"
#include "sidecar/IngressServices.h"
#include "sidecar/StopSchedule.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace mustardwinch {

class Exchange;

/** Accepts requests of callers on this VM and forwards each to an upstream or refuses it. */
class Ingress
{
public:
  explicit Ingress(IngressServices aServices);

  void Handle(const std::shared_ptr<HttpSession>& aSession, HttpRequest aRequest);

  /** Refuses a request with a large body by its head; nothing if the body may be read. */
  std::optional<HttpAnswer> CheckHead(const HttpRequest& aHead);

  /** Refuses, as not run, each request that the schedule of a stop does not let in; open ones
   * continue. */
  void Stop(const StopSchedule& aSchedule) { mStop = aSchedule; }

  /** Answers all open requests because the process is about to exit; those that certainly have not
   * run are answered as not run. */
  void AnswerOpenRequests();

  /** Number of requests without an answer. */
  std::size_t Open() const { return mOpen->size(); }

  std::string MetricsText() const;

private:
  friend class Exchange;

  /** Whether a stop lets in a request that is read now. */
  bool MayTake(TimePoint aDeadline) const;

  const std::string& ChooseTargetOf(const TrafficRoute& aRoute);

  /** Exponentially smoothed body size of a route's answers. */
  std::size_t ExpectedAnswerBytes(const std::string& aRoute) const;
  void RecordAnswerBytes(const std::string& aRoute, std::size_t aBytes);

  IngressServices mServices;
  PlacementPolicy mPlacement;
  std::mt19937_64 mRandom;
  std::map<std::string, double> mSplitPosition; //!< by route; see ChooseTarget()
  std::map<std::string, double> mAnswerBytes;   //!< by route
  std::map<unsigned, std::uint64_t> mStatusCounts;
  LatencyHistograms mLatencies{ "mw_request_seconds" };
  std::optional<StopSchedule> mStop;          //!< nothing: the node is not stopping
  std::shared_ptr<std::set<Exchange*>> mOpen; //!< shared because exchanges may outlive the ingress
};

} // namespace mustardwinch
