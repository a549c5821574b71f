#pragma once

#include "mustardwinch/Clock.h"
#include "sidecar/RevocationSettings.h"

#include <optional>

namespace mustardwinch {

/**
 * Decides whether this node may accept keys of its configuration, by the time at which that
 * configuration was last known to be the newest.
 *
 * Load pattern: a node is cut off, suspended or turned away by the store while an operator
 * withdraws a key. A request that is sent later than the bound after the withdrawal must not run,
 * so a node whose configuration has not been confirmed within the bound accepts no keys. One check
 * when a request arrives is enough: the request was sent before it, and the configuration that is
 * checked holds every withdrawal that was acknowledged before the confirmation.
 */
class KeyFreshness
{
public:
  explicit KeyFreshness(const RevocationSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  void Configure(const RevocationSettings& aSettings) { mSettings = aSettings; }
  bool IsStrict() const { return mSettings.strict; }

  /** The configuration in effect was the newest one at aAsOf. Not believed of a time in which the
   * store may lack a withdrawal that it had acknowledged. */
  void Confirm(TimePoint aAsOf);

  /** The store has come back from a copy that may lack withdrawals. */
  void OnHistoryReplaced(TimePoint aNow);

  /** The operators have written the newest configuration again. */
  void OnRewritten() { mLackingUntil.reset(); }

  /** Whether keys may be accepted. Always true if revocation is not strict. */
  bool MayAcceptKeys(TimePoint aNow) const;

  /** Whether peers are to be asked for a confirmation. */
  bool ShouldAskPeers(TimePoint aNow) const;

  /** Whether this node must ask the store itself, since peers have not confirmed in time. */
  bool ShouldAskStore(TimePoint aNow) const;

  /** How long one watch of the node that confirms for others may wait for a change. */
  Milliseconds WatchWait() const;

  /** When the configuration was last known to be the newest. */
  std::optional<TimePoint> ConfirmedAt() const { return mConfirmedAt; }

private:
  bool IsOlderThan(TimePoint aNow, double aShareOfBound) const;

  RevocationSettings mSettings;
  std::optional<TimePoint> mConfirmedAt;
  std::optional<TimePoint> mLackingUntil; //!< until then the store may lack withdrawals
};

} // namespace mustardwinch
