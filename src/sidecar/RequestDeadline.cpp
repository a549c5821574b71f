#include "sidecar/RequestDeadline.h"

#include "http/HttpText.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace mustardwinch {
namespace {

std::optional<Milliseconds> ParseMilliseconds(std::string_view aText)
{
  std::int64_t n = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return result.ec == std::errc() && n > 0 ? std::optional(Milliseconds(n)) : std::nullopt;
}

} // namespace

TimePoint DeadlineOf(const HttpRequest& aRequest,
                     const TrafficRoute& aRoute,
                     const HttpNames& aNames,
                     TimePoint aArrival)
{
  const auto ofCaller = ParseMilliseconds(HeaderValue(aRequest.headers, aNames.remaining));
  return aArrival + std::min(aRoute.timeout, ofCaller.value_or(aRoute.timeout));
}

} // namespace mustardwinch
