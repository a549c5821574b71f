#include "history/BodyPattern.h"

#include "base/Sha256.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace mustardwinch {

namespace {

constexpr std::size_t kWordBytes = sizeof(std::uint64_t);
constexpr std::size_t kChunkBytes = 16 * 1024;

/** The finaliser of SplitMix64. */
std::uint64_t Mix(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9U;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebU;
  return aValue ^ (aValue >> 31U);
}

} // namespace

BodyPattern::BodyPattern(std::string_view aRequestId)
  : mSeed(XXH64(aRequestId.data(), aRequestId.size(), 0))
{
}

void BodyPattern::Fill(std::uint64_t aOffset, char* aBuffer, std::size_t aSize) const
{
  while (aSize > 0) {
    const std::uint64_t word = Mix(mSeed + aOffset / kWordBytes);
    const std::size_t skip = aOffset % kWordBytes;
    const std::size_t n = std::min(aSize, kWordBytes - skip);
    std::memcpy(aBuffer, reinterpret_cast<const char*>(&word) + skip, n);
    aBuffer += n;
    aOffset += n;
    aSize -= n;
  }
}

bool BodyPattern::Matches(std::uint64_t aOffset, std::string_view aBytes) const
{
  std::vector<char> expected(std::min(aBytes.size(), kChunkBytes));
  while (!aBytes.empty()) {
    const std::size_t n = std::min(aBytes.size(), kChunkBytes);
    Fill(aOffset, expected.data(), n);
    if (std::memcmp(expected.data(), aBytes.data(), n) != 0) {
      return false;
    }
    aOffset += n;
    aBytes.remove_prefix(n);
  }
  return true;
}

std::string BodyPattern::HashOf(std::uint64_t aSize) const
{
  Sha256 hash;
  std::vector<char> chunk(kChunkBytes);
  for (std::uint64_t offset = 0; offset < aSize;) {
    const std::size_t n = std::min<std::uint64_t>(aSize - offset, kChunkBytes);
    Fill(offset, chunk.data(), n);
    hash.Add({ chunk.data(), n });
    offset += n;
  }
  return hash.Finish();
}

} // namespace mustardwinch
