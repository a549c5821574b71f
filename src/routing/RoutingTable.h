#pragma once

#include "routing/TrafficConfig.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mustardwinch {

/** A configuration with the look-ups that a request needs. Immutable. */
class RoutingTable
{
public:
  explicit RoutingTable(TrafficConfig aConfig);

  const TrafficConfig& Config() const { return mConfig; }

  /** The route of the host with the longest prefix of the target's path; null if there is none. */
  const TrafficRoute* FindRoute(std::string_view aHost, std::string_view aTarget) const;

  /** The organisation that holds the key; null if none does. */
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
