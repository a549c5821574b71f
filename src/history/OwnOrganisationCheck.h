#pragma once

#include "history/History.h"
#include "history/Verdict.h"

namespace mustardwinch {

/** A request ran for the organisation whose key came with it. */
struct OwnOrganisationCheck
{
  Verdict Judge(const History& aHistory) const;
};

} // namespace mustardwinch
