#pragma once

#include <cstdint>
#include <string>

namespace mustardwinch {

/** A service: upstreams that answer the same requests. Resource kind "service". */
struct Service
{
  std::string name;
  std::uint32_t coldRampMs = 10'000; //!< time from cold start to full load
  std::uint32_t slots = 7;           //!< concurrent requests of an upstream that announces none
  std::uint32_t connections = 400;   //!< connections of an upstream that announces none

  bool operator==(const Service&) const = default;
};

} // namespace mustardwinch
