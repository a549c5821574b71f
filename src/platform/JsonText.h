#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace mustardwinch {

/** Deeper values are refused, because copying and writing JSON is recursive. */
inline constexpr int kMaxJsonDepth = 32;

/** The value in the text; a discarded one if it is not JSON or too deep. */
nlohmann::json ParseJson(std::string_view aText);

/** One line of JSON; bytes that are not UTF-8 are replaced. */
std::string DumpJson(const nlohmann::json& aJson);

} // namespace mustardwinch
