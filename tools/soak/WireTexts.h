#pragma once

#include "http/HttpRequest.h"
#include "sidecar/UpstreamAnnouncement.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch::soak {

constexpr double kColdStartsPerSecond = 10;
constexpr std::size_t kMaxAnnouncementReply = 4'096;
constexpr const char* kHost = "shop.example";

/** An organisation of the soak. */
struct SoakOrganisation
{
  std::string name;
  std::vector<std::string> keys;
  double ratePerSecond = 0;
  double burst = 0;
};

/** What an upstream tells the node beside it, as a call of the users' platform. */
HttpRequest AnnouncementRequest(const UpstreamAnnouncement& aAnnouncement);

/** The configuration as an operator of the users' platform writes it: routes /safe/, /unsafe/ and
 *  /upload/ to the service "booking", /dispatch/ to "dispatch", /open/ without a key.
 *  @param aAddedRoutes names of further routes that are idempotent, to "booking" */
nlohmann::json ConfigSpec(std::uint64_t aVersion,
                          const std::vector<SoakOrganisation>& aOrganisations,
                          const std::vector<std::string>& aAddedRoutes = {});

} // namespace mustardwinch::soak
