#include "mustardwinch/Address.h"

#include <array>
#include <charconv>

namespace mustardwinch {
namespace {

/** Reads a decimal number of at most aMax from the front of aText and takes it off. */
std::optional<std::uint32_t> TakeNumber(std::string_view& aText, std::uint32_t aMax)
{
  std::uint32_t n = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, n);
  if (ec != std::errc() || n > aMax) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(rest - aText.data()));
  return n;
}

bool TakeChar(std::string_view& aText, char aChar)
{
  if (aText.empty() || aText.front() != aChar) {
    return false;
  }
  aText.remove_prefix(1);
  return true;
}

} // namespace

std::optional<Address> Address::Parse(std::string_view aText)
{
  constexpr std::array<char, 4> kSeparators{ '.', '.', '.', ':' };
  Address address;
  for (char it : kSeparators) {
    const auto n = TakeNumber(aText, 255);
    if (!n || !TakeChar(aText, it)) {
      return std::nullopt;
    }
    address.ip = (address.ip << 8) | *n;
  }
  const auto port = TakeNumber(aText, 65535);
  if (!port || *port == 0 || !aText.empty()) {
    return std::nullopt;
  }
  address.port = static_cast<std::uint16_t>(*port);
  return address;
}

std::string Address::IpString() const
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((ip >> shift) & 0xFF);
    if (shift > 0) {
      text += '.';
    }
  }
  return text;
}

std::string Address::ToString() const
{
  return IpString() + ":" + std::to_string(port);
}

} // namespace mustardwinch
