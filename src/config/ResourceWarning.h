#pragma once

#include "config/ConfigSnapshot.h"

#include <string>
#include <vector>

namespace mustardwinch {

/** Something odd between resources, each of which is valid alone. It goes into their status. */
struct ResourceWarning
{
  std::string kind;
  std::string name;
  std::string text;

  auto operator<=>(const ResourceWarning&) const = default;
};

/**
 * Checks resources against each other: references to services that do not exist, a key hash of two
 * organisations (the one first by name holds the key), routes that match the same requests (the one
 * first by name gets them). The answer is sorted and does not depend on the order of the resources.
 */
std::vector<ResourceWarning> CheckReferences(const std::vector<Resource>& aResources);

} // namespace mustardwinch
