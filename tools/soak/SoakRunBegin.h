#pragma once

#include <cstddef>
#include <string>

namespace mustardwinch::soak {

/** What an upstream sees when it begins to work on a request. */
struct SoakRunBegin
{
  std::string id;
  std::string instance;
  std::size_t node = 0; //!< beside which the upstream runs
  std::string service;
  std::string failureDomain;
  std::string organisation;  //!< that the node says sent it
  std::string callerService; //!< service beside the node at which the request began
  bool keySeen = false;      //!< a key came along
  std::size_t bodyBytes = 0; //!< that came with it

  bool operator==(const SoakRunBegin&) const = default;
};

} // namespace mustardwinch::soak
