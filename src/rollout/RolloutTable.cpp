#include "rollout/RolloutTable.h"

#include <algorithm>
#include <set>

namespace mustardwinch {
namespace {

/** A step holds this long after it was told; coordinators tell it twice a second. */
constexpr Milliseconds kStepLease{ 1'500 };

constexpr double kGoldenStep = 0.6180339887498949;

} // namespace

bool RolloutTable::SetAll(const std::vector<StoredRollout>& aRollouts,
                          StorePosition aAt,
                          TimePoint aNow)
{
  if (mKnown && aAt < mAt) {
    return false;
  }
  std::set<std::string> listed;
  for (const StoredRollout& it : aRollouts) {
    listed.insert(it.order.service);
    Set(it, aAt, aNow);
  }
  for (auto& [service, entry] : mEntries) {
    entry.removed = entry.removed || listed.count(service) == 0;
  }
  mKnown = true;
  mAt = aAt;
  return true;
}

void RolloutTable::Set(const StoredRollout& aRollout, StorePosition aAt, TimePoint aNow)
{
  mAt = std::max(mAt, aAt);
  Entry& entry = mEntries[aRollout.order.service];
  if (!(entry.stored.order == aRollout.order) || entry.removed) {
    const double position = entry.position;
    entry = {};
    entry.begin = aNow;
    entry.position = position;
  }
  entry.stored = aRollout;
}

void RolloutTable::Remove(const std::string& aService, StorePosition aAt)
{
  mAt = std::max(mAt, aAt);
  const auto it = mEntries.find(aService);
  if (it != mEntries.end()) {
    it->second.removed = true;
  }
}

bool RolloutTable::OnStep(const RolloutStep& aStep, TimePoint aNow)
{
  Entry& entry = mEntries[aStep.order.service];
  if (entry.stored.order.service.empty()) { // the store has not told it yet
    entry.stored.order = aStep.order;
    entry.begin = aNow;
  }
  if (!(entry.stored.order == aStep.order) || entry.removed) {
    return false; // of an earlier or a later order than the one that is known
  }
  entry.begin = std::min(entry.begin, aNow - aStep.age);
  const bool isFirst = !entry.step;
  const bool isLater = isFirst || aStep.phase > entry.step->phase ||
                       (aStep.number > entry.step->number && aStep.phase >= entry.step->phase);
  const bool isSame = !isFirst && aStep.number == entry.step->number;
  // The share may fall back to that of an earlier phase, but not from the last two.
  const bool mayFall =
    !isFirst && entry.step->phase < RolloutPhase::kNewOnly && aStep.number > entry.step->number;
  if (!isLater && !isSame && !mayFall) {
    return false;
  }
  entry.heard = aNow;
  if (isSame) {
    return false;
  }
  entry.step = aStep;
  return true;
}

bool RolloutTable::IsDecided(const Entry& aEntry)
{
  const auto state = aEntry.stored.State();
  const bool isFinal = state && state != RolloutState::kRunning;
  return aEntry.removed || isFinal || (aEntry.step && aEntry.step->phase >= RolloutPhase::kNewOnly);
}

RolloutTable::Use RolloutTable::UseOf(const Entry& aEntry, TimePoint aNow) const
{
  const auto state = aEntry.stored.State();
  if (!aEntry.stored.problem.empty()) {
    return Use::kAny;
  }
  if (state == RolloutState::kCompleted) {
    return aEntry.removed ? Use::kAny : Use::kNewOnly;
  }
  if (aEntry.removed || state == RolloutState::kRolledBack) {
    return Use::kWithoutNew;
  }
  if (!aEntry.step || aEntry.step->phase == RolloutPhase::kRolledBack) {
    return Use::kWithoutNew;
  }
  if (aEntry.step->phase == RolloutPhase::kNewOnly) {
    return Use::kNewOnly;
  }
  const bool fresh = aNow - aEntry.heard < kStepLease;
  return fresh && aEntry.step->share > 0 ? Use::kSplit : Use::kWithoutNew;
}

const RolloutTable::Entry* RolloutTable::FindEntry(const std::string& aService) const
{
  const auto it = mEntries.find(aService);
  return it != mEntries.end() ? &it->second : nullptr;
}

bool RolloutTable::DrawTarget(const std::string& aService, TimePoint aNow)
{
  const auto it = mEntries.find(aService);
  if (it == mEntries.end() || UseOf(it->second, aNow) != Use::kSplit) {
    return false;
  }
  Entry& entry = it->second;
  entry.position = entry.position < 0 ? mFirstPosition : entry.position + kGoldenStep;
  entry.position -= entry.position >= 1 ? 1 : 0;
  return entry.position < entry.step->share;
}

VersionRule RolloutTable::RuleFor(const std::string& aService, bool aDrawn, TimePoint aNow) const
{
  const Entry* entry = FindEntry(aService);
  if (entry == nullptr) {
    return {};
  }
  const std::string& target = entry->stored.order.target;
  switch (UseOf(*entry, aNow)) {
    case Use::kAny:
      return {};
    case Use::kNewOnly:
      return { target, {}, {} };
    case Use::kSplit:
      return aDrawn ? VersionRule{ target, {}, entry->step->gates } : VersionRule{ {}, target, {} };
    case Use::kWithoutNew:
      break;
  }
  return { {}, target, {} };
}

bool RolloutTable::MayRun(const std::string& aService,
                          const std::string& aVersion,
                          const std::string& aMeantFor,
                          TimePoint aNow) const
{
  const Entry* entry = FindEntry(aService);
  if (entry == nullptr) {
    return true;
  }
  const bool isTarget = aVersion == entry->stored.order.target;
  switch (UseOf(*entry, aNow)) {
    case Use::kAny:
      return true;
    case Use::kNewOnly:
      return isTarget;
    case Use::kSplit:
      return !isTarget || aMeantFor == aVersion;
    case Use::kWithoutNew:
      break;
  }
  return !isTarget;
}

bool RolloutTable::IsInUse(const std::string& aService,
                           const std::string& aVersion,
                           TimePoint aNow) const
{
  const Entry* entry = FindEntry(aService);
  return entry == nullptr || !IsDecided(*entry) || MayRun(aService, aVersion, aVersion, aNow);
}

std::vector<StoredRollout> RolloutTable::Running() const
{
  std::vector<StoredRollout> running;
  for (const auto& [service, entry] : mEntries) {
    const auto state = entry.stored.State();
    if (!entry.removed && (!state || state == RolloutState::kRunning)) {
      running.push_back(entry.stored);
    }
  }
  return running;
}

const StoredRollout* RolloutTable::Find(const std::string& aService) const
{
  const Entry* entry = FindEntry(aService);
  return entry != nullptr && !entry->removed ? &entry->stored : nullptr;
}

const RolloutStep* RolloutTable::StepOf(const std::string& aService) const
{
  const Entry* entry = FindEntry(aService);
  return entry != nullptr && entry->step ? &*entry->step : nullptr;
}

TimePoint RolloutTable::BeginOf(const std::string& aService) const
{
  const Entry* entry = FindEntry(aService);
  return entry != nullptr ? entry->begin : TimePoint{};
}

} // namespace mustardwinch
