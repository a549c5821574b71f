#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace mustardwinch {

/** One HTTP header field. */
struct HttpHeader
{
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/** Compares header names, ignoring ASCII case. */
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);

/** Returns the first field with this name, or null. */
const HttpHeader* FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/** True for fields that apply to one connection and are never forwarded. */
bool IsHopByHopHeader(std::string_view aName);

/** True for fields that only a node may set in a response to a caller. */
bool IsNodeHeader(std::string_view aName);

} // namespace mustardwinch
