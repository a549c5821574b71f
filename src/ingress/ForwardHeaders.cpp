#include "ingress/ForwardHeaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace mustardwinch {
namespace {

/** Fields that are set by the fleet, or that hold keys whatever their value is. */
bool IsReservedHeader(std::string_view aName)
{
  constexpr std::array<std::string_view, 8> kNames{
    "X-Api-Key",    "Authorization",  "X-Organisation", "X-Deadline-Ms",
    "X-Request-Id", "Content-Length", "Host",           "X-Shed",
  };
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view aOne) {
    return SameHeaderName(aOne, aName);
  });
}

/** Fields that the Connection field names belong to the connection as well. */
bool IsNamedByConnection(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& it : aHeaders) {
    if (!SameHeaderName(it.name, "Connection")) {
      continue;
    }
    std::string_view rest = it.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      std::string_view token = rest.substr(0, comma);
      rest.remove_prefix(std::min(comma + 1, rest.size()));
      while (token.starts_with(' ')) {
        token.remove_prefix(1);
      }
      while (token.ends_with(' ')) {
        token.remove_suffix(1);
      }
      if (SameHeaderName(token, aName)) {
        return true;
      }
    }
  }
  return false;
}

std::string ToLower(std::string_view aText)
{
  std::string text(aText);
  for (char& it : text) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return text;
}

bool HasControlCharacter(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), [](char aOne) {
    const auto byte = static_cast<unsigned char>(aOne);
    return byte <= 0x20 || byte == 0x7F;
  });
}

} // namespace

HttpHeaders ForwardHeaders(const HttpHeaders& aHeaders, std::string_view aKey)
{
  HttpHeaders forwarded;
  for (const HttpHeader& it : aHeaders) {
    const bool dropped = IsHopByHopHeader(it.name) || IsReservedHeader(it.name) ||
                         IsNamedByConnection(aHeaders, it.name);
    const bool holdsKey = !aKey.empty() && (it.value.find(aKey) != std::string::npos ||
                                            it.name.find(aKey) != std::string::npos);
    if (!dropped && !holdsKey) {
      forwarded.push_back(it);
    }
  }
  return forwarded;
}

bool IsPlainTarget(std::string_view aTarget)
{
  if (!aTarget.starts_with('/') || HasControlCharacter(aTarget)) {
    return false;
  }
  const std::string path = ToLower(aTarget.substr(0, aTarget.find('?'))) + "/";
  constexpr std::array<std::string_view, 7> kForbidden{ "/./", "/../", "//", "%2e",
                                                        "%2f", "%5c",  "\\" };
  for (std::string_view it : kForbidden) {
    const std::size_t at = path.find(it);
    const bool trailingSlash = it == "//" && at != std::string::npos && at + 2 == path.size();
    if (at != std::string::npos && !trailingSlash) {
      return false;
    }
  }
  return true;
}

} // namespace mustardwinch
