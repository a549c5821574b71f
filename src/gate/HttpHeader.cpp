#include "gate/HttpHeader.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace mustardwinch {

bool SameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return std::tolower(static_cast<unsigned char>(aOne)) ==
             std::tolower(static_cast<unsigned char>(aOther));
    });
}

const HttpHeader* FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& it : aHeaders) {
    if (SameHeaderName(it.name, aName)) {
      return &it;
    }
  }
  return nullptr;
}

bool IsHopByHopHeader(std::string_view aName)
{
  constexpr std::array<std::string_view, 10> kNames{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Proxy-Connection",
    "Expect",
  };
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view aOne) {
    return SameHeaderName(aOne, aName);
  });
}

bool IsNodeHeader(std::string_view aName)
{
  constexpr std::string_view kPrefix = "X-Mustardwinch-";
  return SameHeaderName(aName.substr(0, kPrefix.size()), kPrefix);
}

} // namespace mustardwinch
