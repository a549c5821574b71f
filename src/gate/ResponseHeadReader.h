#pragma once

#include "gate/GateResponseHead.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mustardwinch {

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
  /** @return whether the head of the final response is whole */
  bool Add(std::string_view aLine);

  const GateResponseHead& Head() const { return mHead; }
  bool IsWhole() const { return mWhole; }

  /** Whether the response says in two ways, or in an odd one, where its body ends. */
  bool IsLengthInDoubt() const { return mLengthInDoubt; }

private:
  void Begin(std::string_view aStatusLine);
  void AddField(std::string_view aName, std::string_view aValue);
  void AddLength(std::string_view aValue);

  GateResponseHead mHead;
  std::optional<std::int64_t> mLength;
  bool mEncoded = false; //!< has a Transfer-Encoding: the body tells its own end
  bool mLengthInDoubt = false;
  bool mWhole = false;
};

} // namespace mustardwinch
