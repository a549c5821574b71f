#pragma once

#include "health/EjectionSet.h"
#include "health/EjectionStore.h"

#include <atomic>
#include <functional>
#include <string>

namespace mustardwinch {

/**
 * Updates the ejections of a service by compare-and-set on the service's single platform object,
 * so that gates cannot overwrite each other's updates. Calls block. Thread safe.
 */
class EjectionUpdater
{
public:
  /** Returns the wanted set for the set just read; an equal set means that nothing is written. */
  using Decision = std::function<EjectionSet(const EjectionSet& aCurrent)>;

  /** @param aWriter unique name of this process */
  EjectionUpdater(EjectionStore aStore, std::string aWriter);

  /**
   * Reads the set, calls aDecision and writes the result on condition that the object has not
   * changed; on a conflict it starts over, a bounded number of times. Returns the set in force, or
   * the error; after an error the write may or may not have taken effect.
   */
  Result<EjectionSet> Update(const std::string& aService, const Decision& aDecision);

private:
  const EjectionStore mStore;
  const std::string mWriter;
  std::atomic<std::uint64_t> mNextOperation{ 1 };
};

} // namespace mustardwinch
