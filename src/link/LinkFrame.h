#pragma once

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Kinds of frames on a link. The numbers are part of the protocol between versions. */
enum class FrameKind : std::uint8_t
{
  kHello = 0, //!< number: protocol version; payload: link address of the dialler
  kPing = 1,  //!< answered by kPong
  kPong = 2,
  kRequest = 3, //!< number: PeerMessage
  kReply = 4,   //!< number: ResultCode, 0 if the payload is an answer
  kOpen = 5,    //!< opens a stream; payload: its head
  kData = 6,    //!< number: StreamTag
  kEnd = 7,     //!< the sender sends no more on this stream
  kWindow = 8,  //!< number: bytes that the receiver has consumed
  kReset = 9,   //!< number: ResultCode; the stream is over
};

/** One frame of a link. On the wire: length (4 bytes, big endian), then a msgpack array of four. */
struct LinkFrame
{
  FrameKind kind = FrameKind::kPing;
  std::uint64_t id = 0; //!< request or stream, numbered by the dialler
  std::uint32_t number = 0;
  std::string payload;

  bool operator==(const LinkFrame&) const = default;
};

} // namespace mustardwinch
