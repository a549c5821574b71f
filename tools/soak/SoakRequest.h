#pragma once

#include <cstddef>
#include <string>

namespace mustardwinch::soak {

/** A request as a caller sends it. */
struct SoakRequest
{
  std::string id;
  std::size_t node = 0;     //!< where it is sent
  std::string service;      //!< that the route leads to
  std::string addedRoute;   //!< name of its route, if that was added during the run
  std::string organisation; //!< empty on a route open to all
  std::string key;
  bool idempotent = false;
  std::size_t bodyBytes = 0; //!< that it carries
  bool owed = true;          //!< a calm fleet serves it: within the rate, with a good key

  bool operator==(const SoakRequest&) const = default;
};

} // namespace mustardwinch::soak
