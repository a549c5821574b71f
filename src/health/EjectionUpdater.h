#pragma once

#include "health/EjectionSet.h"
#include "health/EjectionStore.h"

#include <atomic>
#include <functional>
#include <string>

namespace mustardwinch {

/**
 * Agrees with the other gates on the ejections of a service, by conditional updates of the
 * service's one object at the platform. The calls block. Safe for several threads.
 */
class EjectionUpdater
{
public:
  /** Decides on the set that was just read; the same set means that nothing is to be written. */
  using Decision = std::function<EjectionSet(const EjectionSet& aCurrent)>;

  /** @param aWriter unique name of this process */
  EjectionUpdater(EjectionStore aStore, std::string aWriter);

  /**
   * Reads the set, decides, and writes if the object is still the one that was read; otherwise
   * reads and decides anew. Returns the set that is in force, or why it is not known; after a
   * failure the write may or may not have taken effect.
   */
  Result<EjectionSet> Update(const std::string& aService, const Decision& aDecision);

private:
  const EjectionStore mStore;
  const std::string mWriter;
  std::atomic<std::uint64_t> mNextOperation{ 1 };
};

} // namespace mustardwinch
