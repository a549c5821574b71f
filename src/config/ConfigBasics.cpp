#include "config/ConfigBasics.h"

#include <variant>

namespace mustardwinch {
namespace {

/** Calls aVisit(map, name, value) with the map that the resource belongs to. */
template<typename Visit>
void VisitBasic(ConfigBasics& aBasics, const Resource& aResource, Visit&& aVisit)
{
  if (const auto* service = std::get_if<Service>(&aResource)) {
    aVisit(aBasics.services, service->name, *service);
  } else if (const auto* floor = std::get_if<CapacityFloor>(&aResource)) {
    aVisit(aBasics.floors, floor->service, *floor);
  } else if (const auto* domain = std::get_if<FailureDomainState>(&aResource)) {
    aVisit(aBasics.failureDomains, domain->name, *domain);
  } else if (const auto* mark = std::get_if<LeavingUpstream>(&aResource)) {
    aVisit(aBasics.leaving, mark->name, *mark);
    // Two marks may name one address, so the addresses are listed anew.
    aBasics.leavingAddresses.clear();
    for (const auto& [name, other] : aBasics.leaving) {
      aBasics.leavingAddresses.insert(other.upstream);
    }
  }
}

} // namespace

bool ConfigBasics::Holds(const Resource& aResource)
{
  return !std::holds_alternative<Organisation>(aResource) &&
         !std::holds_alternative<Route>(aResource);
}

void ConfigBasics::Put(const Resource& aResource)
{
  VisitBasic(*this, aResource, [](auto& aMap, const auto& aName, const auto& aValue) {
    aMap.insert_or_assign(aName, aValue);
  });
}

void ConfigBasics::Remove(const Resource& aResource)
{
  VisitBasic(
    *this, aResource, [](auto& aMap, const auto& aName, const auto&) { aMap.erase(aName); });
}

} // namespace mustardwinch
