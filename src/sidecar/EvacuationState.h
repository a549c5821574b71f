#pragma once

#include "mustardwinch/Clock.h"
#include "store/StorePosition.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace mustardwinch {

/**
 * Failure domains that take no new work, as the store lists them at a position.
 *
 * Load pattern: the store comes back from a copy that is older than an evacuation. Until operators
 * have written again what was lost, what the copy lacks stays in effect; an evacuation that has
 * been ended meanwhile only keeps a failure domain empty for longer.
 */
class EvacuationState
{
public:
  enum class Change : std::uint8_t
  {
    kNone,
    kOutdated, //!< of an earlier position than the state; nothing changed
    kInEffect, //!< other failure domains are evacuated now
  };

  /** The store lists these and no others. */
  Change Set(std::set<std::string> aDomains, StorePosition aAt, TimePoint aNow);

  /** One of them was written or removed. */
  Change SetOne(const std::string& aDomain, bool aEvacuated, StorePosition aAt, TimePoint aNow);

  /** Ends what was kept longer than operators need to write it again. */
  Change Expire(TimePoint aNow);

  bool IsEvacuated(const std::string& aDomain) const;
  std::set<std::string> InEffect() const;

  const std::set<std::string>& Listed() const { return mListed; }
  StorePosition At() const { return mAt; }

private:
  void Keep(const std::set<std::string>& aInEffect, TimePoint aNow);

  std::set<std::string> mListed;
  std::map<std::string, TimePoint> mKept; //!< lost by the store, and until when each is obeyed
  StorePosition mAt;
};

} // namespace mustardwinch
