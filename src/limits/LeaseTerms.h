#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** Maximum rate error of a VM's clock. NTP slews by no more than this. */
constexpr double kMaxClockDrift = 500e-6;

/** Lower bound of the time on any clock of the fleet while aSpan passes on this one. */
constexpr Duration ShortenedForDrift(Duration aSpan)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aSpan.count()) * (1 - 2.5 * kMaxClockDrift)));
}

/** Duration on this clock after which aSpan has passed on every clock of the fleet. */
constexpr Duration LengthenedForDrift(Duration aSpan)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aSpan.count()) * (1 + 2.5 * kMaxClockDrift)));
}

/** Terms of a lease, counted from before its last acquire or renew write was sent. */
struct LeaseTerms
{
  static constexpr unsigned kEighths = 8;

  Milliseconds shortTerm{ 10'000 };      //!< may grant the full share
  Milliseconds tailTerm{ 4 * 3600'000 }; //!< may grant tailEighths of the share
  Milliseconds grantLifetime{ 2'000 };   //!< maximum grant lifetime; the same in the whole fleet
  unsigned tailEighths = 6; //!< part of the share that the holder keeps for the tail term

  constexpr bool HasValidShare() const { return tailEighths >= 1 && tailEighths <= kEighths; }

  bool operator==(const LeaseTerms&) const = default;
};

} // namespace mustardwinch
