#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/Result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** One HTTP request to the platform. */
struct HttpCall
{
  std::string method;
  std::string path; //!< with query
  std::vector<std::string> headers;
  std::string body;
  Milliseconds timeout{ 0 };
  bool isWrite = false;

  bool operator==(const HttpCall&) const = default;
};

/** The platform's answer to a request. */
struct HttpAnswer
{
  long status = 0;
  std::string body;
  std::uint64_t epoch = 0;      //!< of the platform's history; 0 if it does not tell
  std::uint64_t epochBegin = 0; //!< last number that the history took over from a copy

  bool operator==(const HttpAnswer&) const = default;
};

} // namespace mustardwinch
