#include "standin_upstream/Behaviour.h"

namespace mustardwinch::standin {

std::optional<Behaviour> Behaviour::With(const nlohmann::json& aJson) const
{
  if (!aJson.is_object()) {
    return std::nullopt;
  }
  nlohmann::json merged = *this;
  for (const auto& [name, value] : aJson.items()) {
    if (!merged.contains(name)) {
      return std::nullopt;
    }
    merged[name] = value;
  }
  try {
    Behaviour changed = merged.get<Behaviour>();
    const bool known =
      changed.silent == "none" || changed.silent == "all" || changed.silent == "pooled";
    return known ? std::optional(changed) : std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardwinch::standin
