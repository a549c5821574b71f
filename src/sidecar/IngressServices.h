#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/Organisation.h"
#include "placement/NodeRetryBudget.h"
#include "quota/RateVerdict.h"
#include "rollout/VersionRule.h"
#include "routing/RoutingTable.h"
#include "sidecar/GateDirectory.h"
#include "sidecar/HttpNames.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mustardwinch {

/** Dependencies of an ingress on the rest of the node. */
struct IngressServices
{
  boost::asio::io_context& loop;
  Clock& clock;
  HttpNames names;
  std::string vmName;
  std::string failureDomain;
  std::function<std::string()> callerService; //!< service of the upstream beside the node
  std::function<std::shared_ptr<const RoutingTable>()> routing; //!< null: no configuration yet
  std::function<bool()> mayAcceptKeys; //!< false: a key may have been withdrawn unnoticed
  GateDirectory gates;
  std::function<void(const Organisation&, std::function<void(RateVerdict)>)> acquireRateToken;
  std::function<void(const std::string& aOrganisation)> onRetry;
  std::function<NodeRetryBudget&(const std::string& aService)> retries;

  /** Requests a retry from the part of the retry budget that all nodes share. */
  std::function<void(const std::string& aService, const std::function<void(bool)>& aDone)>
    acquireRetry;

  /** Fraction of the requests running at the upstream beside the node that are retries. The same
   * fraction of its inner calls are retries. */
  std::function<double()> retryShare;

  /** Whether the next request to a service is one of those for the new version of a roll-out. */
  std::function<bool(const std::string& aService)> drawNewVersion;

  /** Versions that a request may be sent to. @param aDrawn drawNewVersion() chose the new one */
  std::function<VersionRule(const std::string& aService, bool aDrawn)> versionRule;
};

} // namespace mustardwinch
