#pragma once

#include "mustardwinch/Result.h"

namespace mustardwinch {

/** Exit codes of mwctl; docs/RESOURCES.md explains them. */
enum class ExitCode : int
{
  kDone = 0,
  kUsage = 2,       //!< bad input; nothing was written
  kNotFound = 3,    //!< the object does not exist
  kConflict = 4,    //!< another operator's change stands
  kUnavailable = 5, //!< the platform did not answer; a write may have taken effect
  kPartly = 6,      //!< apply wrote some resources, but not all
};

/** The exit code that stands for a failure. */
ExitCode ExitCodeOf(const Failure& aFailure);

} // namespace mustardwinch
