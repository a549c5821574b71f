#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardwinch {

/** An IPv4 address and a port. Names are never resolved: processes know each other by IP number. */
struct Address
{
  std::uint32_t ip = 0; //!< host byte order
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;

  /** Reads "a.b.c.d:port"; nothing on bad input. */
  static std::optional<Address> Parse(std::string_view aText);

  /** "a.b.c.d:port" */
  std::string ToString() const;

  /** "a.b.c.d" */
  std::string IpString() const;
};

} // namespace mustardwinch
