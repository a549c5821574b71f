#pragma once

#include "mustardwinch/Clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace mustardwinch::soak {

/** What an upstream does wrong in the bytes that it writes. */
enum class WireFault : std::uint8_t
{
  kLateRejection,   //!< refuses some requests unrun; writes a second copy where the next is due
  kLateFailure,     //!< the same with answers 500
  kLateSuccess,     //!< the same with whole answers
  kRefusesAfterRun, //!< chooses 408, 421, 429 or 503 for a request that has run
  kStopsInHead,     //!< closes in the middle of the head of an answer
  kStopsInBody,     //!< closes in the middle of its body
  kRejectsEarly,    //!< refuses before the body is in, and reads the rest later
  kResetsUnbounded, //!< resets during an answer without a length
  kNone,
};

constexpr std::size_t kWireFaults = static_cast<std::size_t>(WireFault::kNone);

const char* NameOf(WireFault aFault);

/** A wire fault of an upstream at a time of the run. */
struct WireStep
{
  WireFault fault = WireFault::kNone;
  std::size_t target = 0; //!< number of the upstream
  Milliseconds at{ 0 };   //!< from the begin of the faults
  Milliseconds length{ 0 };

  auto operator<=>(const WireStep&) const = default;
};

/** The wire faults of a run, in order of time: a function of the seed alone. They have a generator
 *  of their own, so that the other faults of a seed stay as they were when it failed. */
std::vector<WireStep> MakeWirePlan(std::uint64_t aSeed, std::size_t aNodes, Milliseconds aLength);

} // namespace mustardwinch::soak
