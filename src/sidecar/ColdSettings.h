#pragma once

namespace mustardwinch {

/**
 * How many requests a gate starts in a second at an upstream that is cold or may be.
 *
 * Load pattern: a service with few upstreams gets more calls a second at each than a cold one bears
 * (inner calls of every request of another service). An upstream that says it is cold gets about
 * what it bears. One that does not say so may have turned cold since its last announcement, so it
 * gets no more than the bound that holds for cold upstreams, but all of that.
 */
struct ColdSettings
{
  double factor = 1.2;      //!< starts of a cold upstream, times what it bears
  double boundRatio = 1.44; //!< starts of any upstream, times what it bears cold
  double boundSlack = 0;    //!< starts a second on top of that

  /** @param aColdCapacity starts a second that a cold upstream bears; 0: no bound. */
  double StartsPerSecond(double aColdCapacity, bool aCold) const;

  bool operator==(const ColdSettings&) const = default;
};

} // namespace mustardwinch
