#include "health/DomainRamp.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr double kMinLoadShare = 0.02; // a domain without any load would yield no measurements

} // namespace

void DomainRamp::Observe(const ConfigSnapshot& aConfig, TimePoint aNow)
{
  if (mRevision == aConfig.Revision()) {
    return;
  }
  mRevision = aConfig.Revision();
  for (const auto& [name, it] : aConfig.Basics().failureDomains) {
    Domain& domain = mDomains[name];
    const bool out = it.state == FailureDomainState::State::kOut;
    if (domain.out && !out) {
      domain.enabledAt = aNow;
      domain.rampDuration = Milliseconds(it.rampMs);
    }
    domain.out = out;
  }
}

double DomainRamp::LoadShare(const std::string& aFailureDomain, TimePoint aNow) const
{
  const auto it = mDomains.find(aFailureDomain);
  if (it == mDomains.end()) {
    return 1;
  }
  const Domain& domain = it->second;
  if (domain.out) {
    return 0;
  }
  const Duration elapsed = aNow - domain.enabledAt;
  if (elapsed >= domain.rampDuration) {
    return 1;
  }
  const double share =
    static_cast<double>(elapsed.count()) / static_cast<double>(domain.rampDuration.count());
  return std::max(kMinLoadShare, share);
}

} // namespace mustardwinch
