#pragma once

#include <cstdint>

namespace mustardwinch {

/** Fault switches of a stand-in for the platform. The counters go down as faults are spent. */
struct PlatformFaults
{
  bool outage = false;                //!< every call fails and takes no effect
  std::uint32_t latencyMs = 0;        //!< added to every call before it takes effect
  std::uint32_t dropWrites = 0;       //!< the next writes fail and take no effect
  std::uint32_t loseReplies = 0;      //!< the next writes take effect, but their replies are lost
  std::uint32_t staleReads = 0;       //!< the next gets and lists miss the last write
  std::uint32_t malformedAnswers = 0; //!< the next calls take effect, but answer nonsense

  bool operator==(const PlatformFaults&) const = default;
};

} // namespace mustardwinch
