#pragma once

#include "membership/GossipPacket.h"
#include "membership/NodeRecord.h"
#include "membership/RecordPull.h"

#include <msgpack.hpp>

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <type_traits>

/**
 * Msgpack encoding of the gossip types: each struct is an array of its fields in order. A reader
 * accepts a shorter array from an older peer and ignores fields that a newer peer added.
 */
namespace mustardwinch::gossip {

/** Limits of nesting and sizes, checked before allocation; input beyond them is malformed. */
inline const msgpack::unpack_limit kUnpackLimit(200'000, 16, 4'194'304, 4'194'304, 0, 16);

/** Highest valid value of an enumeration on the wire. */
template<typename E>
inline constexpr std::uint8_t kEnumMax = 0;
template<>
inline constexpr std::uint8_t kEnumMax<MemberState> = 3;
template<>
inline constexpr std::uint8_t kEnumMax<RecordFamily> = 1;
template<>
inline constexpr std::uint8_t kEnumMax<GossipKind> = 6;
template<>
inline constexpr std::uint8_t kEnumMax<PullKind> = 3;
template<>
inline constexpr std::uint8_t kEnumMax<UpstreamState> = 2;

/** Calls aVisit with every field of a struct, in wire order. */
template<typename V>
void Fields(Address& aValue, V&& aVisit)
{
  aVisit(aValue.ip, aValue.port);
}
template<typename V>
void Fields(VmIdentity& aValue, V&& aVisit)
{
  aVisit(aValue.name, aValue.failureDomain, aValue.region, aValue.link, aValue.incarnation);
}
template<typename V>
void Fields(MemberUpdate& aValue, V&& aVisit)
{
  aVisit(aValue.identity, aValue.refutation, aValue.state);
}
template<typename V>
void Fields(FreshnessBeacon& aValue, V&& aVisit)
{
  aVisit(aValue.ageMs, aValue.digest, aValue.revision);
}
template<typename V>
void Fields(RecordVersion& aValue, V&& aVisit)
{
  aVisit(aValue.major, aValue.minor);
}
template<typename V>
void Fields(RecordAnnouncement& aValue, V&& aVisit)
{
  aVisit(aValue.family, aValue.key, aValue.version, aValue.bytes);
}
template<typename V>
void Fields(RecordCopy& aValue, V&& aVisit)
{
  aVisit(aValue.family, aValue.key, aValue.version, aValue.deleted, aValue.content);
}
template<typename V>
void Fields(UpstreamRecord& aValue, V&& aVisit)
{
  aVisit(aValue.service,
         aValue.upstream,
         aValue.instance,
         aValue.slots,
         aValue.connections,
         aValue.state,
         aValue.cold,
         aValue.ejected,
         aValue.load);
}
template<typename V>
void Fields(NodeRecord& aValue, V&& aVisit)
{
  aVisit(aValue.identity, aValue.upstreams);
}
template<typename V>
void Fields(GossipPacket& aValue, V&& aVisit)
{
  aVisit(aValue.kind,
         aValue.sequence,
         aValue.sender,
         aValue.digest,
         aValue.revision,
         aValue.receiver,
         aValue.target,
         aValue.beacons,
         aValue.members,
         aValue.announcements,
         aValue.records);
}
template<typename V>
void Fields(PullRequest& aValue, V&& aVisit)
{
  aVisit(aValue.kind, aValue.family, aValue.cursor, aValue.digests, aValue.keys);
}
template<typename V>
void Fields(PullAnswer& aValue, V&& aVisit)
{
  aVisit(aValue.kind,
         aValue.family,
         aValue.complete,
         aValue.nextCursor,
         aValue.members,
         aValue.announcements,
         aValue.records);
}

using Packer = msgpack::packer<msgpack::sbuffer>;

template<typename T>
void Write(Packer& aPacker, const T& aValue);

template<typename T>
void Write(Packer& aPacker, const std::vector<T>& aValues)
{
  aPacker.pack_array(static_cast<std::uint32_t>(aValues.size()));
  for (const T& it : aValues) {
    Write(aPacker, it);
  }
}

template<typename T>
void Write(Packer& aPacker, const T& aValue)
{
  if constexpr (std::is_enum_v<T>) {
    aPacker.pack(static_cast<std::uint8_t>(aValue));
  } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    aPacker.pack(aValue);
  } else {
    // Fields() is shared with reading and takes a mutable reference; writing does not modify it.
    Fields(const_cast<T&>(aValue), [&](const auto&... aFields) {
      aPacker.pack_array(sizeof...(aFields));
      (Write(aPacker, aFields), ...);
    });
  }
}

template<typename T>
void Read(const msgpack::object& aObject, T& aValue);

template<typename T>
void Read(const msgpack::object& aObject, std::vector<T>& aValues)
{
  if (aObject.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  aValues.resize(aObject.via.array.size);
  for (std::uint32_t n = 0; n < aObject.via.array.size; ++n) {
    Read(aObject.via.array.ptr[n], aValues[n]);
  }
}

template<typename T>
void Read(const msgpack::object& aObject, T& aValue)
{
  if constexpr (std::is_enum_v<T>) {
    const auto n = aObject.as<std::uint8_t>();
    if (n > kEnumMax<T>) {
      throw msgpack::type_error();
    }
    aValue = static_cast<T>(n);
  } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    aObject.convert(aValue);
  } else {
    if (aObject.type != msgpack::type::ARRAY) {
      throw msgpack::type_error();
    }
    std::uint32_t n = 0;
    const auto next = [&](auto& aField) {
      if (n < aObject.via.array.size) {
        Read(aObject.via.array.ptr[n++], aField);
      }
    };
    Fields(aValue, [&](auto&... aFields) { (next(aFields), ...); });
  }
}

/** Encoded size of aValue without the version envelope. */
template<typename T>
std::size_t EncodedBytes(const T& aValue)
{
  msgpack::sbuffer buf;
  Packer packer(buf);
  Write(packer, aValue);
  return buf.size();
}

template<typename T>
std::string Encode(std::uint32_t aVersion, const T& aValue)
{
  msgpack::sbuffer buf;
  Packer packer(buf);
  packer.pack_array(2);
  packer.pack(aVersion);
  Write(packer, aValue);
  return { buf.data(), buf.size() };
}

template<typename T>
Result<T> Decode(std::uint32_t aVersion, std::string_view aBytes)
{
  try {
    const msgpack::object_handle handle =
      msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, kUnpackLimit);
    const msgpack::object& top = handle.get();
    if (top.type != msgpack::type::ARRAY || top.via.array.size < 2) {
      return ResultCode::kGossipMalformed;
    }
    if (top.via.array.ptr[0].as<std::uint32_t>() != aVersion) {
      return ResultCode::kGossipVersion;
    }
    T value;
    Read(top.via.array.ptr[1], value);
    return value;
  } catch (const std::exception& ex) {
    return { ResultCode::kGossipMalformed, ex.what() };
  }
}

} // namespace mustardwinch::gossip
