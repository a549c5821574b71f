#pragma once

#include <string>

namespace mustardwinch {

/** Names of the HTTP headers and paths that callers, upstreams and the platform use. */
struct HttpNames
{
  std::string requestId;      //!< unique for each attempt of a caller; echoed in answers
  std::string remaining;      //!< remaining time of the sender in milliseconds
  std::string key;            //!< API key of an organisation, never forwarded
  std::string organisation;   //!< name of the organisation, for upstreams
  std::string callerService;  //!< service beside the node at which the request began
  std::string expectInstance; //!< instance that the request is for; other instances reject it
  std::string instance;       //!< instance that answers; not in all answers
  std::string signature;      //!< present in each answer that an upstream generated
  std::string coldRemaining;  //!< milliseconds for which the upstream stays cold; in health answers
  std::string notRun;         //!< present if the upstream did not run the request
  std::string retryAfter;     //!< seconds, fractions allowed
  std::string readyPath;      //!< readiness path, polled by the platform
  std::string announcePrefix; //!< path prefix of announcements, followed by the instance

  bool operator==(const HttpNames&) const = default;
};

} // namespace mustardwinch
