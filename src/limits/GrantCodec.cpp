#include "limits/GrantCodec.h"

#include <msgpack.hpp>

#include <stdexcept>
#include <tuple>

namespace mustardwinch {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxEntries = 1024;
constexpr std::size_t kMaxDepth = 8;
constexpr std::int64_t kMaxMilliseconds = 3'600'000;

using WireEntry = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
using WireKey = std::tuple<std::uint32_t, std::uint16_t, std::uint64_t, std::uint64_t>;
using WireRequest = std::
  tuple<WireKey, std::string, std::uint32_t, std::uint32_t, std::uint32_t, std::vector<WireEntry>>;
using WireSettlement = std::tuple<WireKey, std::string, std::uint32_t, std::vector<WireEntry>>;
using WireNotice = std::tuple<std::uint32_t, std::uint32_t>;
using WireReply = std::tuple<std::uint8_t,
                             std::uint32_t,
                             std::int64_t,
                             std::int64_t,
                             bool,
                             std::uint32_t,
                             std::uint16_t>;

/** Message type numbers on the wire. */
enum class WireType : std::uint8_t
{
  kRequest = 1,
  kSettlement = 2,
  kNotice = 3,
};

WireKey ToWire(const GrantKey& aKey)
{
  return { aKey.ingress.ip, aKey.ingress.port, aKey.incarnation, aKey.sequence };
}

GrantKey FromWire(const WireKey& aKey)
{
  return { { std::get<0>(aKey), std::get<1>(aKey) }, std::get<2>(aKey), std::get<3>(aKey) };
}

std::vector<WireEntry> ToWire(const std::vector<GrantEntry>& aEntries)
{
  std::vector<WireEntry> wire;
  wire.reserve(aEntries.size());
  for (const GrantEntry& it : aEntries) {
    wire.emplace_back(it.sequence, it.held, it.returned);
  }
  return wire;
}

std::vector<GrantEntry> FromWire(const std::vector<WireEntry>& aEntries)
{
  std::vector<GrantEntry> entries;
  entries.reserve(aEntries.size());
  for (const auto& [sequence, held, returned] : aEntries) {
    entries.push_back({ sequence, held, returned });
  }
  return entries;
}

template<typename Wire>
std::string Pack(WireType aType, const Wire& aWire)
{
  msgpack::sbuffer buf;
  msgpack::packer packer(buf);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint8_t>(aType));
  packer.pack(aWire);
  return { buf.data(), buf.size() };
}

struct Encoder
{
  std::string operator()(const GrantRequest& aMessage) const
  {
    const WireRequest wire{ ToWire(aMessage.key), aMessage.organisation, aMessage.slice,
                            aMessage.need,        aMessage.prefetch,     ToWire(aMessage.entries) };
    return Pack(WireType::kRequest, wire);
  }

  std::string operator()(const GrantSettlement& aMessage) const
  {
    const WireSettlement wire{
      ToWire(aMessage.ingress), aMessage.organisation, aMessage.slice, ToWire(aMessage.entries)
    };
    return Pack(WireType::kSettlement, wire);
  }

  std::string operator()(const LeaseNotice& aMessage) const
  {
    return Pack(WireType::kNotice, WireNotice{ aMessage.shard, aMessage.slice });
  }
};

msgpack::object_handle Unpack(std::string_view aBytes)
{
  const msgpack::unpack_limit limit(kMaxEntries, 0, kMaxNameBytes, 0, 0, kMaxDepth);
  std::size_t offset = 0;
  msgpack::object_handle handle =
    msgpack::unpack(aBytes.data(), aBytes.size(), offset, nullptr, nullptr, limit);
  if (offset != aBytes.size()) {
    throw std::invalid_argument("trailing bytes after the message");
  }
  return handle;
}

/** Checks the array size: msgpack converts a short array to a longer tuple without an error. */
template<typename Wire>
Wire As(const msgpack::object& aObject)
{
  const bool fits =
    aObject.type == msgpack::type::ARRAY && aObject.via.array.size == std::tuple_size_v<Wire>;
  if (!fits) {
    throw std::invalid_argument("wrong number of fields");
  }
  return aObject.as<Wire>();
}

std::optional<GrantMessage> ReadMessage(const msgpack::object& aObject)
{
  const auto [type, body] = As<std::tuple<std::uint8_t, msgpack::object>>(aObject);
  switch (static_cast<WireType>(type)) {
    case WireType::kRequest: {
      const auto wire = As<WireRequest>(body);
      return GrantRequest{ FromWire(std::get<0>(wire)), std::get<1>(wire),
                           std::get<2>(wire),           std::get<3>(wire),
                           std::get<4>(wire),           FromWire(std::get<5>(wire)) };
    }
    case WireType::kSettlement: {
      const auto wire = As<WireSettlement>(body);
      return GrantSettlement{ FromWire(std::get<0>(wire)),
                              std::get<1>(wire),
                              std::get<2>(wire),
                              FromWire(std::get<3>(wire)) };
    }
    case WireType::kNotice: {
      const auto wire = As<WireNotice>(body);
      return LeaseNotice{ std::get<0>(wire), std::get<1>(wire) };
    }
  }
  return std::nullopt;
}

bool IsValidDuration(std::int64_t aMilliseconds)
{
  return aMilliseconds >= 0 && aMilliseconds <= kMaxMilliseconds;
}

std::optional<GrantReply> ReadReply(const msgpack::object& aObject)
{
  const auto wire = As<WireReply>(aObject);
  const auto [kind, tokens, lifetime, retryAfter, settleSoon, ip, port] = wire;
  const bool known = kind <= static_cast<std::uint8_t>(GrantReply::Kind::kNotOwner);
  if (!known || !IsValidDuration(lifetime) || !IsValidDuration(retryAfter)) {
    return std::nullopt;
  }
  return GrantReply{ static_cast<GrantReply::Kind>(kind),
                     tokens,
                     Milliseconds(lifetime),
                     Milliseconds(retryAfter),
                     settleSoon,
                     { ip, port } };
}

template<typename Read>
auto DecodeWith(std::string_view aBytes, Read aRead) -> decltype(aRead(msgpack::object()))
{
  try {
    const msgpack::object_handle handle = Unpack(aBytes);
    return aRead(handle.get());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::string EncodeGrantMessage(const GrantMessage& aMessage)
{
  return std::visit(Encoder{}, aMessage);
}

std::string EncodeGrantReply(const GrantReply& aReply)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf,
                WireReply{ static_cast<std::uint8_t>(aReply.kind),
                           aReply.tokens,
                           aReply.lifetime.count(),
                           aReply.retryAfter.count(),
                           aReply.settleSoon,
                           aReply.holder.ip,
                           aReply.holder.port });
  return { buf.data(), buf.size() };
}

std::optional<GrantMessage> DecodeGrantMessage(std::string_view aBytes)
{
  return DecodeWith(aBytes, ReadMessage);
}

std::optional<GrantReply> DecodeGrantReply(std::string_view aBytes)
{
  return DecodeWith(aBytes, ReadReply);
}

} // namespace mustardwinch
