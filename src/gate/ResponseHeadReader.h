#pragma once

#include "gate/GateResponseHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mustardwinch {

/** What the id in a response's head says of the request that it answers. */
enum class ResponseOwner : std::uint8_t
{
  kUnknown, //!< no id
  kOwn,
  kAnother, //!< the id of another request, or several ids
};

/**
 * Reads the head of an upstream's response line by line. The last head counts: interim ones come
 * before it.
 *
 * The length that is told on must be the one at which libcurl ends the body, or the caller's side
 * would take part of one response for the next. So chunks win over a length, and a length that
 * libcurl could read in another way is in doubt.
 */
class ResponseHeadReader
{
public:
  explicit ResponseHeadReader(std::string aRequestId)
    : mRequestId(std::move(aRequestId))
  {
  }

  /** @return whether the head of the final response is whole */
  bool Add(std::string_view aLine);

  const GateResponseHead& Head() const { return mHead; }
  bool IsWhole() const { return mWhole; }

  /** Whether it is no response of HTTP: its status is none, or it says in two ways, or in an odd
   * one, where its body ends. */
  bool IsMalformed() const;

  /** Whether nothing but the end of the connection tells the end of the body. */
  bool EndsWithConnection() const { return !mEncoded && !mLength && MayHaveBody(); }
  ResponseOwner Owner() const { return mOwner; }

private:
  bool MayHaveBody() const;
  void Begin(std::string_view aStatusLine);
  void AddField(std::string_view aName, std::string_view aValue);
  void AddLength(std::string_view aValue);

  std::string mRequestId;
  GateResponseHead mHead;
  ResponseOwner mOwner = ResponseOwner::kUnknown;
  std::optional<std::int64_t> mLength;
  bool mEncoded = false; //!< has a Transfer-Encoding: the body tells its own end
  bool mLengthInDoubt = false;
  bool mWhole = false;
};

} // namespace mustardwinch
