#pragma once

#include "link/LinkFrame.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mustardwinch {

/** Longest frame after its length field, in bytes. A longer one is malformed. */
inline constexpr std::size_t kMaxFrameBytes = 4U << 20;

/** Bytes of the length field before each frame. */
inline constexpr std::size_t kFrameLengthBytes = 4;

/** Appends the wire form of a frame to aOut. */
void AppendFrame(const LinkFrame& aFrame, std::string& aOut);

/** Reads a frame without its length field; nothing if it is malformed. */
std::optional<LinkFrame> ParseFrame(std::string_view aBytes);

/** Reads the length field; nothing if it is zero or over kMaxFrameBytes. */
std::optional<std::size_t> ParseFrameLength(const unsigned char* aBytes);

} // namespace mustardwinch
