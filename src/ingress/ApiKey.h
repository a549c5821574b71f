#pragma once

#include "gate/HttpHeader.h"

#include <optional>
#include <string>
#include <string_view>

namespace mustardwinch {

/** The key in a caller's head: `X-Api-Key: KEY` or `Authorization: Bearer KEY`; nothing if none. */
std::optional<std::string> FindApiKey(const HttpHeaders& aHeaders);

/** SHA-256 of a key as lower-case hex, the form in which organisations hold keys. */
std::string HashApiKey(std::string_view aKey);

} // namespace mustardwinch
