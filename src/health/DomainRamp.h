#pragma once

#include "config/ConfigSnapshot.h"
#include "mustardwinch/Clock.h"

#include <map>
#include <optional>
#include <string>

namespace mustardwinch {

/**
 * Slow start of failure domains: records when each domain was put back into service and raises its
 * load gradually from then on. A domain that was in service when first observed gets its full share
 * at once. Not thread safe.
 */
class DomainRamp
{
public:
  /** Reads the domain states of a configuration; returns at once if its revision is unchanged. */
  void Observe(const ConfigSnapshot& aConfig, TimePoint aNow);

  /** Fraction of its normal load that the domain gets: 0 while it is out, then rising to 1. */
  double LoadShare(const std::string& aFailureDomain, TimePoint aNow) const;

private:
  struct Domain
  {
    bool out = false;
    TimePoint enabledAt{};
    Duration rampDuration{};
  };

  std::optional<std::uint64_t> mRevision;
  std::map<std::string, Domain> mDomains;
};

} // namespace mustardwinch
