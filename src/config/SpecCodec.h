#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mustardwinch {

/**
 * Specs as bytes: msgpack, in which a SHA-256 in lower-case hex takes 32 bytes in place of 66.
 * Equal specs give equal bytes on all nodes, since the members of an object are in order.
 */
struct SpecCodec
{
  static std::string Encode(nlohmann::json aSpec);

  /** Nothing if the bytes are not the encoding of a spec. */
  static std::optional<nlohmann::json> Decode(std::string_view aBytes);
};

} // namespace mustardwinch
