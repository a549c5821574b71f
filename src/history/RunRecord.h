#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** One request as an upstream saw it. The upstream writes it at the begin and again at the end. */
struct RunRecord
{
  static constexpr const char* kType = "run";

  std::string run; //!< unique: instance of the upstream and a count
  std::string id;  //!< the caller's X-Request-Id
  std::string organisation;
  std::string service;
  std::string upstream; //!< "a.b.c.d:port"
  std::string failureDomain;
  std::string instance;
  std::string method;
  std::string path;
  std::int64_t beginUs = 0;
  std::int64_t endUs = 0; //!< 0: the upstream was gone before the end
  bool completed = false; //!< the whole answer was written
  bool cancelled = false; //!< given up because the client had gone
  bool shed = false;      //!< refused unrun because the upstream was full
  bool cold = false;
  bool turnedCold = false;       //!< cold again without a restart
  std::int64_t coldSinceUs = 0;  //!< start of the cold time; 0 while warm
  std::uint32_t concurrency = 0; //!< requests that ran at the begin, this one with them
  std::uint32_t capacity = 0;    //!< requests that the upstream could bear at the begin
  std::uint64_t received = 0;    //!< bytes of the request's body
  bool keyLeak = false;          //!< a key of a caller was seen in the request

  bool operator==(const RunRecord&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunRecord,
                                                run,
                                                id,
                                                organisation,
                                                service,
                                                upstream,
                                                failureDomain,
                                                instance,
                                                method,
                                                path,
                                                beginUs,
                                                endUs,
                                                completed,
                                                cancelled,
                                                shed,
                                                cold,
                                                turnedCold,
                                                coldSinceUs,
                                                concurrency,
                                                capacity,
                                                received,
                                                keyLeak)

} // namespace mustardwinch
