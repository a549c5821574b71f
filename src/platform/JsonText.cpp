#include "platform/JsonText.h"

namespace mustardwinch {

using nlohmann::json;

json ParseJson(std::string_view aText)
{
  bool isDeep = false;
  const json::parser_callback_t checkDepth = [&](int aDepth, json::parse_event_t, json&) {
    isDeep = isDeep || aDepth > kMaxJsonDepth;
    return !isDeep;
  };
  json value = json::parse(aText, checkDepth, false);
  return isDeep ? json(json::value_t::discarded) : value;
}

std::string DumpJson(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace mustardwinch
