#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** Bound on how much a VM's clock may run fast or slow. NTP slews by no more than this. */
constexpr double kMaxClockDrift = 500e-6;

/** The least that passes on any clock of the fleet while aSpan passes on this one. */
constexpr Duration ShortenedForDrift(Duration aSpan)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aSpan.count()) * (1 - 2.5 * kMaxClockDrift)));
}

/** A span of this clock after which aSpan has passed on every clock of the fleet. */
constexpr Duration LengthenedForDrift(Duration aSpan)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aSpan.count()) * (1 + 2.5 * kMaxClockDrift)));
}

/** What a lease gives and for how long, counted from before its last renewal was sent. */
struct LeaseTerms
{
  static constexpr unsigned kEighths = 8;

  Milliseconds shortTerm{ 10'000 };      //!< the full right
  Milliseconds tailTerm{ 4 * 3600'000 }; //!< the part of the right that tailEighths says
  Milliseconds grantLifetime{ 2'000 };   //!< longest life of a grant; the same in the whole fleet
  unsigned tailEighths = 6;              //!< of the right, kept by the holder for the tail term

  constexpr bool HasValidShare() const { return tailEighths >= 1 && tailEighths <= kEighths; }

  bool operator==(const LeaseTerms&) const = default;
};

} // namespace mustardwinch
