#include "health/EjectionPolicy.h"

#include <algorithm>
#include <tuple>

namespace mustardwinch {
namespace {

/** Orders ejections by severity: slow upstreams before failing ones, then by badness. */
bool IsLessSevere(const Ejection& aLeft, const Ejection& aRight)
{
  const auto key = [](const Ejection& aEjection) {
    return std::make_tuple(
      aEjection.reason == EjectionReason::kFailing, aEjection.badness, aEjection.upstream);
  };
  return key(aLeft) < key(aRight);
}

} // namespace

EjectionPolicy::EjectionPolicy(const UpstreamDirectory::List& aService,
                               const ConfigSnapshot& aConfig,
                               const EjectionSet& aEjections)
  : mUpstreams(*aService)
  , mConfig(aConfig)
  , mEjections(aEjections)
{
  for (const UpstreamRecord& it : mUpstreams) {
    mFloor = aConfig.FloorOf(it.service);
    if (!TakesWork(it)) {
      continue;
    }
    mReadySlots += it.slots;
    const bool ejected = aEjections.Contains(it.upstream, it.instance);
    mExpectedSlots += ejected ? 0 : it.slots;
    mHealthySlots += IsHealthy(it) ? it.slots : 0;
  }
}

bool EjectionPolicy::TakesWork(const UpstreamRecord& aRecord) const
{
  return aRecord.state == UpstreamState::kReady && !mConfig.IsLeaving(aRecord.upstream) &&
         !mConfig.IsFailureDomainOut(aRecord.failureDomain);
}

bool EjectionPolicy::IsHealthy(const UpstreamRecord& aRecord) const
{
  return TakesWork(aRecord) && !aRecord.cold && !aRecord.ejected &&
         !mEjections.Contains(aRecord.upstream, aRecord.instance);
}

const UpstreamRecord* EjectionPolicy::Find(const Address& aUpstream) const
{
  const auto it =
    std::find_if(mUpstreams.begin(), mUpstreams.end(), [&](const UpstreamRecord& aRecord) {
      return aRecord.upstream == aUpstream;
    });
  return it == mUpstreams.end() ? nullptr : &*it;
}

std::uint32_t EjectionPolicy::FloorForEjection() const
{
  return std::max(mFloor, (mReadySlots + 1) / 2);
}

bool EjectionPolicy::MayEject(const Address& aUpstream) const
{
  const UpstreamRecord* record = Find(aUpstream);
  if (record == nullptr) {
    return false;
  }
  const std::uint32_t lost = IsHealthy(*record) ? record->slots : 0;
  return mHealthySlots - lost >= FloorForEjection();
}

std::vector<Address> EjectionPolicy::EjectionsToRelease() const
{
  std::vector<Ejection> ejections = mEjections.Ejections();
  std::sort(ejections.begin(), ejections.end(), IsLessSevere);
  std::vector<Address> released;
  std::uint32_t slots = mExpectedSlots;
  for (const Ejection& it : ejections) {
    const UpstreamRecord* record = Find(it.upstream);
    const bool helps = record != nullptr && TakesWork(*record);
    if (slots >= mFloor) {
      break;
    }
    if (helps) {
      released.push_back(it.upstream);
      slots += record->slots;
    }
  }
  return released;
}

std::vector<Address> EjectionPolicy::StaleEjections() const
{
  std::vector<Address> outdated;
  for (const Ejection& it : mEjections.Ejections()) {
    const UpstreamRecord* record = Find(it.upstream);
    if (record != nullptr && record->instance != it.instance) {
      outdated.push_back(it.upstream);
    }
  }
  return outdated;
}

} // namespace mustardwinch
