#pragma once

namespace mustardwinch {

/**
 * Limits the rate at which a gate starts requests at an upstream that is cold or may be cold.
 *
 * Load pattern: each upstream of a small service receives more requests per second than a cold
 * upstream can handle, because every request to another service makes calls to it. An upstream that
 * announces that it is cold receives about its cold capacity. Any other upstream may have become
 * cold since its last announcement, so it receives up to the bound for cold upstreams, but not
 * more.
 */
struct ColdSettings
{
  double factor = 1.2;      //!< start rate if cold, in multiples of the cold capacity
  double boundRatio = 1.44; //!< maximum start rate otherwise, in multiples of the cold capacity
  double boundSlack = 0;    //!< starts per second added to this maximum

  /** @param aColdCapacity starts per second that a cold upstream can handle; 0 means unlimited. */
  double StartsPerSecond(double aColdCapacity, bool aCold) const;

  bool operator==(const ColdSettings&) const = default;
};

} // namespace mustardwinch
