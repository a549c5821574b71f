#pragma once

#include "mustardwinch/Clock.h"

namespace mustardwinch {

/** After this time in a new history of the store its other writers have written again what the copy
 * lacked. */
inline constexpr Seconds kRewriteTime{ 5 };

} // namespace mustardwinch
