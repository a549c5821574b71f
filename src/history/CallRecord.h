#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** One request as its caller saw it. */
struct CallRecord
{
  static constexpr const char* kType = "call";

  std::string id; //!< X-Request-Id, unique over all callers
  std::string organisation;
  std::string keyHash; //!< SHA-256 of the key that was sent; empty: none
  std::string node;    //!< "a.b.c.d:port" that was called
  std::string method;
  std::string path;
  bool idempotent = true;
  std::int64_t plannedUs = 0; //!< when the arrival process wanted it sent
  std::int64_t sentUs = 0;
  std::int64_t answeredUs = 0; //!< end of the answer, or of the attempt
  int status = 0;              //!< HTTP status; 0: no answer
  std::uint32_t code = 0;      //!< X-Mustardwinch-Code; 0: answered by an upstream, or not at all
  std::string outcome;         //!< answered, not-run, ran, unknown or unconnected
  bool whole = false;          //!< the answer ended as its framing said
  bool hashOk = false;         //!< the body is the one that belongs to this id
  std::uint64_t bytes = 0;     //!< of the answer's body
  std::uint64_t sentBytes = 0; //!< of the request's body
  std::string error;           //!< what the HTTP library said of a failed transfer

  bool operator==(const CallRecord&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallRecord,
                                                id,
                                                organisation,
                                                keyHash,
                                                node,
                                                method,
                                                path,
                                                idempotent,
                                                plannedUs,
                                                sentUs,
                                                answeredUs,
                                                status,
                                                code,
                                                outcome,
                                                whole,
                                                hashOk,
                                                bytes,
                                                sentBytes,
                                                error)

} // namespace mustardwinch
