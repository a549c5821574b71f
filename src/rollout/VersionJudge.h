#pragma once

#include "rollout/RouteCounts.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

enum class VersionVerdict : std::uint8_t
{
  kUndecided, //!< too few requests
  kGood,
  kBad,
};

/** Outcomes at one upstream of the service. */
struct InstanceEvidence
{
  std::string instance;
  bool isTarget = false; //!< of the new version
  RouteEvidence routes;

  bool operator==(const InstanceEvidence&) const = default;
};

/**
 * Compares the upstreams of a new version with those of the version in use, over the same time and
 * for each route by itself.
 *
 * Load patterns:
 * (1) the new version fails a part of its requests, or answers several times slower, on all routes
 *     or on one;
 * (2) upstreams of either version fail gray: single ones fail most of their requests for seconds,
 *     so one upstream never decides, and failing ones of the old version do not count as usual;
 * (3) the whole service fails more often, for example since another service is down: both versions
 *     are compared, not the new one with a fixed figure;
 * (4) few requests: undecided.
 */
VersionVerdict JudgeVersion(const std::vector<InstanceEvidence>& aInstances);

} // namespace mustardwinch
