#include "sidecar/RouteMatch.h"

#include "http/HttpText.h"

namespace mustardwinch {

RouteMatch MatchRequest(const RoutingTable& aRouting,
                        const HttpNames& aNames,
                        const HttpRequest& aRequest,
                        bool aMayAcceptKeys)
{
  RouteMatch match;
  match.route = aRouting.FindRoute(HeaderValue(aRequest.headers, "Host"), aRequest.target);
  if (match.route == nullptr) {
    match.refusal = 404;
    match.why = "no-route";
    return match;
  }
  const std::string_view key = HeaderValue(aRequest.headers, aNames.key);
  const bool keyed = !aRouting.Config().organisations.empty() && !match.route->allowAnonymous;
  if (keyed && !key.empty() && !aMayAcceptKeys) {
    match.refusal = 503;
    match.why = "configuration-unconfirmed";
    return match;
  }
  match.organisation = key.empty() ? nullptr : aRouting.FindOrganisationByKey(key);
  if (keyed && match.organisation == nullptr) {
    match.refusal = 401;
    match.why = key.empty() ? "key-missing" : "key-unknown";
  }
  return match;
}

} // namespace mustardwinch
