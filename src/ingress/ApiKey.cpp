#include "ingress/ApiKey.h"

#include "base/Sha256.h"

namespace mustardwinch {
namespace {

constexpr std::string_view kBearer = "Bearer ";

} // namespace

std::optional<std::string> FindApiKey(const HttpHeaders& aHeaders)
{
  if (const HttpHeader* it = FindHeader(aHeaders, "X-Api-Key")) {
    return it->value;
  }
  const HttpHeader* it = FindHeader(aHeaders, "Authorization");
  if (it == nullptr || it->value.size() <= kBearer.size()) {
    return std::nullopt;
  }
  if (!SameHeaderName(std::string_view(it->value).substr(0, kBearer.size()), kBearer)) {
    return std::nullopt;
  }
  return it->value.substr(kBearer.size());
}

std::string HashApiKey(std::string_view aKey)
{
  return Sha256::Of(aKey);
}

} // namespace mustardwinch
