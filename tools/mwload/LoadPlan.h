#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch::load {

/** An organisation that calls. */
struct PlannedOrganisation
{
  std::string name;
  std::string key;       //!< empty: calls without a key
  double rate = 1;       //!< mean arrivals a second that it sends
  double limitRate = 0;  //!< its rate in the fleet, for the report; 0: none
  double limitBurst = 1; //!< its burst in the fleet

  bool operator==(const PlannedOrganisation&) const = default;
};

/** A kind of request in the mix. */
struct PlannedRoute
{
  std::string method = "GET";
  std::string path = "/";
  double weight = 1;
  std::uint64_t size = 64; //!< bytes of the body: of the answer for GET, else of the request
  bool idempotent = true;
  bool echo = false;                //!< the answer is the request's body
  bool chunked = false;             //!< sends the body in chunks, without its length
  std::uint64_t bytesPerSecond = 0; //!< limit of sending; 0: none

  bool operator==(const PlannedRoute&) const = default;
};

/** What to send, where to and for how long. */
struct LoadPlan
{
  std::vector<std::string> nodes; //!< "a.b.c.d:port"
  std::vector<PlannedOrganisation> organisations;
  std::vector<PlannedRoute> routes;
  double seconds = 10;
  std::uint32_t callers = 64; //!< most requests at once
  std::uint64_t timeoutMs = 30'000;
  std::uint64_t seed = 1;

  bool operator==(const LoadPlan&) const = default;

  /** Reads a YAML file; nothing, and the reason in aError, if a field is missing or unknown. */
  static std::optional<LoadPlan> Read(const std::string& aFile, std::string& aError);
};

} // namespace mustardwinch::load
