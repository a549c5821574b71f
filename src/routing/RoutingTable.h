#pragma once

#include "routing/TrafficConfig.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mustardwinch {

/** An immutable configuration with indexes for the look-ups of a request. */
class RoutingTable
{
public:
  explicit RoutingTable(TrafficConfig aConfig);

  const TrafficConfig& Config() const { return mConfig; }

  /** The host's route with the longest matching path prefix; null if none matches. */
  const TrafficRoute* FindRoute(std::string_view aHost, std::string_view aTarget) const;

  /** The organisation that the API key belongs to; null if the key is unknown. */
  const TrafficOrganisation* FindOrganisationByKey(std::string_view aKey) const;

  const TrafficService* FindService(const std::string& aName) const;
  const TrafficOrganisation* FindOrganisation(const std::string& aName) const;

private:
  using Routes = std::unordered_map<std::string, const TrafficRoute*>;

  TrafficConfig mConfig;
  std::unordered_map<std::string, Routes> mHosts;
  std::unordered_map<std::string, const TrafficOrganisation*> mKeys;
  std::unordered_map<std::string, const TrafficOrganisation*> mOrganisations;
  std::unordered_map<std::string, const TrafficService*> mServices;
};

} // namespace mustardwinch
