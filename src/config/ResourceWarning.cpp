#include "config/ResourceWarning.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace mustardwinch {
namespace {

using Warnings = std::vector<ResourceWarning>;

template<typename T>
std::vector<const T*> Select(const std::vector<Resource>& aResources)
{
  std::vector<const T*> selected;
  for (const Resource& it : aResources) {
    if (const T* resource = std::get_if<T>(&it)) {
      selected.push_back(resource);
    }
  }
  return selected;
}

std::set<std::string> ServiceNames(const std::vector<Resource>& aResources)
{
  std::set<std::string> names;
  for (const Service* it : Select<Service>(aResources)) {
    names.insert(it->name);
  }
  return names;
}

void CheckServices(const std::vector<Resource>& aResources, Warnings& aWarnings)
{
  const std::set<std::string> services = ServiceNames(aResources);
  for (const Route* it : Select<Route>(aResources)) {
    if (!services.contains(it->service)) {
      aWarnings.push_back({ "route", it->name, "the service " + it->service + " does not exist" });
    }
  }
  for (const CapacityFloor* it : Select<CapacityFloor>(aResources)) {
    if (!services.contains(it->service)) {
      aWarnings.push_back({ "floor", it->service, "the service does not exist" });
    }
  }
}

void CheckKeys(const std::vector<Resource>& aResources, Warnings& aWarnings)
{
  std::map<std::string_view, std::set<std::string>> holders;
  for (const Organisation* it : Select<Organisation>(aResources)) {
    for (const std::string& hash : it->keyHashes) {
      holders[hash].insert(it->name);
    }
  }
  for (const auto& [hash, names] : holders) {
    if (names.size() < 2) {
      continue;
    }
    for (const std::string& name : names) {
      aWarnings.push_back({ "organisation",
                            name,
                            "the key hash " + std::string(hash) +
                              " belongs to several organisations; " + *names.begin() +
                              " holds it" });
    }
  }
}

bool ShareMethod(const Route& aLeft, const Route& aRight)
{
  if (aLeft.methods.empty() || aRight.methods.empty()) {
    return true;
  }
  return std::any_of(aLeft.methods.begin(), aLeft.methods.end(), [&](const std::string& aMethod) {
    return std::find(aRight.methods.begin(), aRight.methods.end(), aMethod) != aRight.methods.end();
  });
}

void CheckRoutes(const std::vector<Resource>& aResources, Warnings& aWarnings)
{
  std::map<std::string_view, std::vector<const Route*>> byPrefix;
  for (const Route* it : Select<Route>(aResources)) {
    byPrefix[it->pathPrefix].push_back(it);
  }
  for (auto& [prefix, routes] : byPrefix) {
    std::sort(routes.begin(), routes.end(), [](const Route* aLeft, const Route* aRight) {
      return aLeft->name < aRight->name;
    });
    for (std::size_t i = 1; i < routes.size(); ++i) {
      if (ShareMethod(*routes[i - 1], *routes[i])) {
        aWarnings.push_back(
          { "route",
            routes[i]->name,
            "the route " + routes[i - 1]->name + " comes first for " + std::string(prefix) });
      }
    }
  }
}

} // namespace

std::vector<ResourceWarning> CheckReferences(const std::vector<Resource>& aResources)
{
  Warnings warnings;
  CheckServices(aResources, warnings);
  CheckKeys(aResources, warnings);
  CheckRoutes(aResources, warnings);
  std::sort(warnings.begin(), warnings.end());
  return warnings;
}

} // namespace mustardwinch
