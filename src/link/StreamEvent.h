#pragma once

#include "mustardwinch/ResultCode.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mustardwinch {

/** What a chunk of a stream is. The numbers are part of the protocol between versions. */
enum class StreamTag : std::uint32_t
{
  kBody = 0,     //!< bytes of a request's or an answer's body
  kAccepted = 1, //!< the gate has a slot for the request and now calls the upstream
  kHead = 2,     //!< head of the answer
  kFailed = 3,   //!< the call of the upstream failed; payload: GateFailure
};

/** A chunk that the peer sent. */
struct StreamChunk
{
  StreamTag tag = StreamTag::kBody;
  std::string payload;

  bool operator==(const StreamChunk&) const = default;
};

/** The peer sends no more. */
struct StreamEnd
{
  bool operator==(const StreamEnd&) const = default;
};

/** The stream was reset, by the peer or because the link was lost. */
struct StreamReset
{
  ResultCode code = ResultCode::kStreamReset;

  bool operator==(const StreamReset&) const = default;
};

/** Nothing has come yet. */
struct StreamIdle
{
  bool operator==(const StreamIdle&) const = default;
};

/** What reading a stream can give. */
using StreamEvent = std::variant<StreamChunk, StreamEnd, StreamReset, StreamIdle>;

} // namespace mustardwinch
