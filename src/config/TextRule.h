#pragma once

#include <string_view>

namespace mustardwinch {

/** Which strings a field takes. */
struct TextRule
{
  const char* allowed;               //!< for the reader of an error
  bool (*accepts)(std::string_view); //!< whether the string is allowed
  bool secret = false;               //!< errors never show the value
};

/** Names of resources, VMs, regions and failure domains: `[a-z0-9][a-z0-9.:-]*`. */
extern const TextRule kNameRule;

/** "a.b.c.d:port" with port 1 to 65535, without leading zeros. */
extern const TextRule kAddressRule;

/** An absolute path that is already normal: no query, no empty or dot segments. */
extern const TextRule kPathPrefixRule;

/** HTTP methods that a route may name. */
extern const TextRule kMethodRule;

/** SHA-256 in lower-case hex. A wrong value may be a key that was put here by mistake. */
extern const TextRule kKeyHashRule;

} // namespace mustardwinch
