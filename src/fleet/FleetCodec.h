#pragma once

#include "fleet/FleetMessage.h"

#include <msgpack.hpp>

#include <exception>
#include <optional>
#include <string>
#include <string_view>

namespace mustardwinch {

/** Body of a frame: the kind of the message, then the message in msgpack. */
template<typename Message>
std::string EncodeFleetMessage(FleetMessage aKind, const Message& aMessage)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, aMessage);
  std::string out(1, static_cast<char>(aKind));
  out.append(buf.data(), buf.size());
  return out;
}

/** The message of a frame's body without its first byte; nothing if it is malformed. */
template<typename Message>
std::optional<Message> DecodeFleetMessage(std::string_view aBytes)
{
  try {
    return msgpack::unpack(aBytes.data(), aBytes.size()).get().as<Message>();
  } catch (const std::exception&) { // msgpack reports malformed input this way
    return std::nullopt;
  }
}

} // namespace mustardwinch
