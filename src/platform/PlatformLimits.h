#pragma once

#include "mustardwinch/Result.h"
#include "platform/PlatformWrite.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace mustardwinch {

inline constexpr std::size_t kMaxPlatformNameLength = 253;
inline constexpr std::size_t kMaxPlatformBodyBytes = 1024 * 1024;

/** Whether the platform takes this as kind or name: `[A-Za-z0-9][A-Za-z0-9._:@-]*`. */
bool IsPlatformName(std::string_view aName);

/** Why the platform would never take the write; nothing if it may. */
std::optional<Failure> CheckWrite(const PlatformWrite& aWrite);

} // namespace mustardwinch
