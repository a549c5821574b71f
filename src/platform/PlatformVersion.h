#pragma once

#include <cstdint>

namespace mustardwinch {

/**
 * Versions and revisions of the platform's objects as this project orders them: the epoch of the
 * platform's history above the number that the platform gave. A platform that comes back from a
 * copy gives numbers out again, in a history with a greater epoch; all that is of it comes later.
 */
inline constexpr unsigned kPlatformNumberBits = 44;
inline constexpr std::uint64_t kMaxPlatformEpoch = (std::uint64_t{ 1 } << 20U) - 1;
inline constexpr std::uint64_t kMaxPlatformNumber = (std::uint64_t{ 1 } << kPlatformNumberBits) - 1;

/** Header with the epoch of the versions beside it, in requests and answers. */
inline constexpr const char* kPlatformEpochHeader = "Store-Epoch";

/** Header with the last number that the history took over from the copy. */
inline constexpr const char* kPlatformEpochBeginHeader = "Store-Epoch-Begin";

/** 0 stands for an object that does not exist, in every history. */
constexpr std::uint64_t MakePlatformVersion(std::uint64_t aEpoch, std::uint64_t aNumber)
{
  return aNumber == 0 ? 0 : (aEpoch << kPlatformNumberBits) + aNumber;
}

constexpr std::uint64_t PlatformEpochOf(std::uint64_t aVersion)
{
  return aVersion >> kPlatformNumberBits;
}

/** The number as the platform gave it. */
constexpr std::uint64_t PlatformNumberOf(std::uint64_t aVersion)
{
  return aVersion & kMaxPlatformNumber;
}

} // namespace mustardwinch
