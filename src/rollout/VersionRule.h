#pragma once

#include <set>
#include <string>

namespace mustardwinch {

/** Which versions of a service a request may be sent to. */
struct VersionRule
{
  std::string required;        //!< only this one; empty: any
  std::string forbidden;       //!< any but this one; empty: none is forbidden
  std::set<std::string> gates; //!< only gates on these VMs; empty: all

  bool Allows(const std::string& aVersion, const std::string& aVm) const
  {
    return (required.empty() || aVersion == required) &&
           (forbidden.empty() || aVersion != forbidden) && (gates.empty() || gates.count(aVm) != 0);
  }

  bool operator==(const VersionRule&) const = default;
};

} // namespace mustardwinch
