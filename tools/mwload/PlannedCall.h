#pragma once

#include "mwload/LoadPlan.h"

#include <cstdint>
#include <string>

namespace mustardwinch::load {

/** One request that is due at a time. */
struct PlannedCall
{
  double dueSeconds = 0; //!< after the start of the load
  std::string id;
  std::string node;
  const PlannedOrganisation* organisation = nullptr;
  const PlannedRoute* route = nullptr;
};

} // namespace mustardwinch::load
