#pragma once

#include "gate/HttpHeader.h"

#include <string>

namespace mustardwinch {

/** A whole HTTP answer. */
struct HttpAnswer
{
  unsigned status = 0;
  HttpHeaders headers;
  std::string body;

  bool operator==(const HttpAnswer&) const = default;
};

/** An answer with a short text of the node's own. */
inline HttpAnswer MakeTextAnswer(unsigned aStatus, const std::string& aText)
{
  return { aStatus, { { "Content-Type", "text/plain" } }, aText + "\n" };
}

} // namespace mustardwinch
