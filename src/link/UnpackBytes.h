#pragma once

#include <msgpack.hpp>

#include <cstddef>
#include <exception>
#include <optional>
#include <string_view>
#include <tuple>

namespace mustardwinch {

/**
 * Reads one msgpack object that takes up all of the bytes; nothing if they are malformed.
 *
 * Counts that the bytes claim are limited by the number of bytes, and depth by a small number, so
 * that a short message cannot make the reader allocate much or recurse deeply.
 */
inline std::optional<msgpack::object_handle> UnpackBytes(std::string_view aBytes)
{
  constexpr std::size_t kMaxDepth = 16;
  const std::size_t n = aBytes.size();
  try {
    std::size_t offset = 0;
    msgpack::object_handle handle = msgpack::unpack(
      aBytes.data(), n, offset, nullptr, nullptr, msgpack::unpack_limit(n, n, n, n, n, kMaxDepth));
    if (offset != n) {
      return std::nullopt;
    }
    return handle;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/** Reads a msgpack array of exactly the tuple's members; nothing if the bytes are anything else. */
template<typename Tuple>
std::optional<Tuple> UnpackTuple(std::string_view aBytes)
{
  const std::optional<msgpack::object_handle> handle = UnpackBytes(aBytes);
  if (!handle) {
    return std::nullopt;
  }
  const msgpack::object& object = handle->get();
  const bool shaped =
    object.type == msgpack::type::ARRAY && object.via.array.size == std::tuple_size_v<Tuple>;
  if (!shaped) {
    return std::nullopt;
  }
  try {
    return object.as<Tuple>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardwinch
