#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** A change in the life of an upstream. */
struct LifeRecord
{
  static constexpr const char* kType = "life";

  std::int64_t atUs = 0;
  std::string service;
  std::string upstream; //!< "a.b.c.d:port"
  std::string failureDomain;
  std::string instance;
  std::string state; //!< ready, draining, stopped, or killed by a test
  std::uint32_t slots = 0;
  std::int64_t coldMs = 0; //!< how long a ready upstream bears less than its slots

  bool operator==(const LifeRecord&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LifeRecord,
                                                atUs,
                                                service,
                                                upstream,
                                                failureDomain,
                                                instance,
                                                state,
                                                slots,
                                                coldMs)

} // namespace mustardwinch
