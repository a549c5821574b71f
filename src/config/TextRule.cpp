#include "config/TextRule.h"

#include "mustardwinch/Address.h"

#include <algorithm>
#include <array>

namespace mustardwinch {
namespace {

constexpr std::size_t kMaxNameLength = 200;
constexpr std::size_t kMaxPathLength = 1'024;
constexpr std::size_t kKeyHashLength = 64;

bool IsLowerOrDigit(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9');
}

bool IsNameChar(char aChar)
{
  return IsLowerOrDigit(aChar) || aChar == '.' || aChar == ':' || aChar == '-';
}

bool IsName(std::string_view aText)
{
  const bool sized = !aText.empty() && aText.size() <= kMaxNameLength;
  return sized && IsLowerOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), IsNameChar);
}

/** Also refuses other spellings of the same address, such as leading zeros. */
bool IsAddress(std::string_view aText)
{
  const auto address = Address::Parse(aText);
  return address && address->ToString() == aText;
}

bool IsPathChar(char aChar)
{
  constexpr std::string_view kRefused = "?#\\%\"<>";
  return aChar > ' ' && aChar <= '~' && kRefused.find(aChar) == std::string_view::npos;
}

/** Whether a part of the path between two slashes would be changed by normalisation. */
bool HasOddSegment(std::string_view aPath)
{
  for (std::string_view it : { "//", "/./", "/../" }) {
    if (aPath.find(it) != std::string_view::npos) {
      return true;
    }
  }
  return aPath.ends_with("/.") || aPath.ends_with("/..");
}

bool IsPathPrefix(std::string_view aText)
{
  const bool sized = !aText.empty() && aText.size() <= kMaxPathLength;
  return sized && aText.front() == '/' && !HasOddSegment(aText) &&
         std::all_of(aText.begin(), aText.end(), IsPathChar);
}

bool IsMethod(std::string_view aText)
{
  constexpr std::array<std::string_view, 7> kMethods{ "GET",    "HEAD",  "POST",   "PUT",
                                                      "DELETE", "PATCH", "OPTIONS" };
  return std::find(kMethods.begin(), kMethods.end(), aText) != kMethods.end();
}

bool IsLowerHex(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
}

bool IsKeyHash(std::string_view aText)
{
  return aText.size() == kKeyHashLength && std::all_of(aText.begin(), aText.end(), IsLowerHex);
}

} // namespace

const TextRule kNameRule{ "[a-z0-9][a-z0-9.:-]*, at most 200 characters", &IsName };
const TextRule kAddressRule{ "an IPv4 address and port such as 10.0.0.1:7000", &IsAddress };
const TextRule kPathPrefixRule{ "an absolute path without query, escapes, empty or dot segments",
                                &IsPathPrefix };
const TextRule kMethodRule{ "GET, HEAD, POST, PUT, DELETE, PATCH or OPTIONS", &IsMethod };
const TextRule kKeyHashRule{ "the SHA-256 of a key in 64 lower-case hex digits", &IsKeyHash, true };

} // namespace mustardwinch
