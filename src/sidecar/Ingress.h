#pragma once

#include "health/LatencyHistograms.h"
#include "http/HttpRequest.h"
#include "http/HttpSession.h"
#include "placement/PlacementPolicy.h"
#include "sidecar/IngressServices.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace mustardwinch {

class Exchange;

/** Takes the requests of callers on this VM and has each run by an upstream, or refuses it. */
class Ingress
{
public:
  explicit Ingress(IngressServices aServices);

  void Handle(const std::shared_ptr<HttpSession>& aSession, HttpRequest aRequest);

  /** From now on new requests are refused as not run; those under way go on. */
  void StopAccepting() { mAccepting = false; }

  /** The process is about to end: requests under way are answered now, those that certainly have
   *  not run as such. */
  void AnswerOpenRequests();

  /** Requests that have no answer yet. */
  std::size_t Open() const { return mOpen->size(); }

  std::string MetricsText() const;

private:
  friend class Exchange;

  /** Smoothed size of a route's answers. */
  std::size_t ExpectedAnswerBytes(const std::string& aRoute) const;
  void RecordAnswerBytes(const std::string& aRoute, std::size_t aBytes);

  IngressServices mServices;
  PlacementPolicy mPlacement;
  std::mt19937_64 mRandom;
  std::map<std::string, double> mSplitPosition; //!< by route; spreads parts evenly
  std::map<std::string, double> mAnswerBytes;   //!< by route
  std::map<unsigned, std::uint64_t> mStatusCounts;
  LatencyHistograms mLatencies{ "mw_request_seconds" };
  bool mAccepting = true;
  std::shared_ptr<std::set<Exchange*>> mOpen; //!< exchanges may outlive the ingress on the loop
};

} // namespace mustardwinch
