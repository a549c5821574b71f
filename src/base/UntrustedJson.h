#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace mustardwinch {

/**
 * Parses JSON that holds values of other writers, so that one odd value does not hide its
 * neighbours: arrays and objects that are nested too deeply are left out, numbers beyond the range
 * of a double become null, and bytes that are no text become '?'. All that stays can be copied and
 * printed without deep recursion.
 *
 * @return a discarded value if the text is no JSON otherwise
 */
nlohmann::json ParseUntrustedJson(std::string_view aText);

} // namespace mustardwinch
