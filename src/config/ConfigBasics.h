#pragma once

#include "config/Resource.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace mustardwinch {

/** The resources of which there are few; held parsed. Keyed by name of the resource. */
struct ConfigBasics
{
  std::map<std::string, Service, std::less<>> services;
  std::map<std::string, CapacityFloor, std::less<>> floors;
  std::map<std::string, FailureDomainState, std::less<>> failureDomains;
  std::map<std::string, LeavingUpstream, std::less<>> leaving;
  std::set<Address> leavingAddresses;

  bool operator==(const ConfigBasics&) const = default;

  /** Whether resources of this kind belong here. */
  static bool Holds(const Resource& aResource);

  /** Adds or replaces a resource that belongs here. */
  void Put(const Resource& aResource);

  /** Takes out a resource that belongs here. */
  void Remove(const Resource& aResource);
};

} // namespace mustardwinch
