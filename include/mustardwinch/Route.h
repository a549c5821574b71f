#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** Sends requests with a path prefix to a service. Resource kind "route". */
struct Route
{
  std::string name;
  std::string pathPrefix;           //!< begins with '/'; the longest match wins
  std::vector<std::string> methods; //!< empty: all methods
  std::string service;
  bool open = false;       //!< true: no key is needed
  bool idempotent = false; //!< true: every method of the route is idempotent
  std::uint32_t deadlineMs = 10'000;

  bool operator==(const Route&) const = default;
};

} // namespace mustardwinch
