#pragma once

#include "mwctl/ExitCode.h"
#include "platform/PlatformObject.h"

#include <string>
#include <vector>

namespace mustardwinch {

/** Prints a failure to standard error and gives its exit code. */
ExitCode PrintFailure(const Failure& aFailure);

/** Prints one object as a line, or as JSON. */
void PrintObject(const PlatformObject& aObject, bool aJson);

/** Prints the status of resources as a table, or as JSON. */
void PrintStatus(const std::vector<PlatformObject>& aObjects, bool aJson);

} // namespace mustardwinch
