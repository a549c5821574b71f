#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardwinch {

/**
 * A body that follows from the id of its request, so that a reader can tell a wrong, moved or
 * crossed byte without keeping the body.
 */
class BodyPattern
{
public:
  explicit BodyPattern(std::string_view aRequestId);

  /** Writes the bytes from offset aOffset on. */
  void Fill(std::uint64_t aOffset, char* aBuffer, std::size_t aSize) const;

  /** Whether aBytes are those from offset aOffset on. */
  bool Matches(std::uint64_t aOffset, std::string_view aBytes) const;

  /** SHA-256 of the first aSize bytes in lower-case hex. */
  std::string HashOf(std::uint64_t aSize) const;

private:
  std::uint64_t mSeed;
};

} // namespace mustardwinch
