#include "sidecar/EvacuationState.h"

#include "store/RewriteTime.h"

#include <utility>

namespace mustardwinch {

EvacuationState::Change EvacuationState::Set(std::set<std::string> aDomains,
                                             StorePosition aAt,
                                             TimePoint aNow)
{
  if (aAt < mAt) {
    return aDomains == mListed ? Change::kNone : Change::kOutdated;
  }
  const std::set<std::string> before = InEffect();
  if (aAt.epoch > mAt.epoch) {
    Keep(before, aNow);
  }
  mAt = aAt;
  mListed = std::move(aDomains);
  for (const std::string& it : mListed) {
    mKept.erase(it);
  }
  return InEffect() == before ? Change::kNone : Change::kInEffect;
}

void EvacuationState::Keep(const std::set<std::string>& aInEffect, TimePoint aNow)
{
  for (const std::string& it : aInEffect) {
    mKept[it] = aNow + kRewriteTime;
  }
}

EvacuationState::Change EvacuationState::SetOne(const std::string& aDomain,
                                                bool aEvacuated,
                                                StorePosition aAt,
                                                TimePoint aNow)
{
  if (aAt < mAt) {
    return Change::kOutdated;
  }
  std::set<std::string> domains = mListed;
  if (aEvacuated) {
    domains.insert(aDomain);
  } else {
    domains.erase(aDomain);
  }
  const bool endsKept = !aEvacuated && aAt.epoch == mAt.epoch && mKept.erase(aDomain) != 0;
  const Change change = Set(std::move(domains), aAt, aNow);
  return endsKept ? Change::kInEffect : change;
}

EvacuationState::Change EvacuationState::Expire(TimePoint aNow)
{
  const std::size_t n =
    std::erase_if(mKept, [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
  return n != 0 ? Change::kInEffect : Change::kNone;
}

bool EvacuationState::IsEvacuated(const std::string& aDomain) const
{
  return mListed.count(aDomain) != 0 || mKept.count(aDomain) != 0;
}

std::set<std::string> EvacuationState::InEffect() const
{
  std::set<std::string> domains = mListed;
  for (const auto& [domain, until] : mKept) {
    domains.insert(domain);
  }
  return domains;
}

} // namespace mustardwinch
