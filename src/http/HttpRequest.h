#pragma once

#include "base/SharedText.h"
#include "gate/HttpHeader.h"

#include <string>

namespace mustardwinch {

/** A whole HTTP request. */
struct HttpRequest
{
  std::string method;
  std::string target; //!< path and query as they came
  HttpHeaders headers;
  SharedText body;

  bool operator==(const HttpRequest&) const = default;
};

} // namespace mustardwinch
