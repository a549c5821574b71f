#include "routing/RoutingTable.h"

#include "base/Sha256.h"

#include <cctype>
#include <utility>

namespace mustardwinch {
namespace {

/** Strips the port and converts to lower case, for comparisons of host names. */
std::string NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.rfind(':')));
  for (char& it : host) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return host;
}

} // namespace

RoutingTable::RoutingTable(TrafficConfig aConfig)
  : mConfig(std::move(aConfig))
{
  for (const TrafficRoute& it : mConfig.routes) {
    mHosts[NormalizeHost(it.host)].emplace(it.pathPrefix, &it);
  }
  for (const TrafficOrganisation& it : mConfig.organisations) {
    mOrganisations.emplace(it.organisation.name, &it);
    for (const std::string& hash : it.organisation.keyHashes) {
      mKeys.emplace(hash, &it);
    }
  }
  for (const TrafficService& it : mConfig.services) {
    mServices.emplace(it.name, &it);
  }
}

const TrafficRoute* RoutingTable::FindRoute(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = mHosts.find(NormalizeHost(aHost));
  if (host == mHosts.end()) {
    return nullptr;
  }
  std::string path(aTarget.substr(0, aTarget.find('?')));
  while (!path.empty()) {
    path.resize(path.rfind('/') + 1); // npos + 1 is 0
    const auto it = host->second.find(path);
    if (it != host->second.end()) {
      return it->second;
    }
    if (!path.empty()) {
      path.pop_back();
    }
  }
  return nullptr;
}

const TrafficOrganisation* RoutingTable::FindOrganisationByKey(std::string_view aKey) const
{
  const auto it = mKeys.find(Sha256::Of(aKey));
  return it != mKeys.end() ? it->second : nullptr;
}

const TrafficService* RoutingTable::FindService(const std::string& aName) const
{
  const auto it = mServices.find(aName);
  return it != mServices.end() ? it->second : nullptr;
}

const TrafficOrganisation* RoutingTable::FindOrganisation(const std::string& aName) const
{
  const auto it = mOrganisations.find(aName);
  return it != mOrganisations.end() ? it->second : nullptr;
}

} // namespace mustardwinch
