#pragma once

#include "config/ConfigIndex.h"
#include "config/Resource.h"

#include <algorithm>
#include <string>
#include <variant>

namespace mustardwinch {

/** Calls aVisit(by, text) for each entry that the index holds of a resource. */
template<typename Visit>
void ForEachConfigEntry(const Resource& aResource, Visit&& aVisit)
{
  if (const auto* organisation = std::get_if<Organisation>(&aResource)) {
    aVisit(ConfigIndex::By::kOrganisation, organisation->name);
    for (const std::string& it : organisation->keyHashes) {
      aVisit(ConfigIndex::By::kKeyHash, it);
    }
  } else if (const auto* route = std::get_if<Route>(&aResource)) {
    aVisit(ConfigIndex::By::kPathPrefix, route->pathPrefix);
  }
}

/** Length of the path prefix of a route; 0 for other resources. */
inline std::size_t PrefixLengthOf(const Resource& aResource)
{
  const auto* route = std::get_if<Route>(&aResource);
  return route == nullptr ? 0 : route->pathPrefix.size();
}

} // namespace mustardwinch
