#include "rollout/RolloutCoordinator.h"

#include "quota/RateOwner.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** Gates report each half second; a report may be lost. */
constexpr Milliseconds kReportMaxAge{ 1'500 };

/** Evidence of this time shows a version that has turned bad among many good answers before. */
constexpr Milliseconds kRecentTime{ 4'000 };

std::uint64_t CountRequests(const RouteEvidence& aRoutes)
{
  std::uint64_t n = 0;
  for (const auto& [route, counts] : aRoutes) {
    n += counts.requests;
  }
  return n;
}

RouteEvidence Difference(const RouteEvidence& aLatest, const RouteEvidence& aEarlier)
{
  RouteEvidence recent;
  for (const auto& [route, counts] : aLatest) {
    const auto earlier = aEarlier.find(route);
    recent[route] = earlier != aEarlier.end() ? counts.Since(earlier->second) : counts;
  }
  return recent;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(const RolloutOrder& aOrder,
                                       const RolloutSettings& aSettings,
                                       TimePoint aBegin,
                                       TimePoint aNow)
  : mOrder(aOrder)
  , mSettings(aSettings)
  , mBegin(aBegin)
  , mStepSince(aNow)
{
  mStep.order = aOrder;
}

void RolloutCoordinator::OnStep(const RolloutStep& aStep, TimePoint aNow)
{
  if (!(aStep.order == mOrder)) {
    return;
  }
  mBegin = std::min(mBegin, aNow - aStep.age);
  const bool further = aStep.phase > mStep.phase;
  if (further || (aStep.phase == mStep.phase && aStep.number > mStep.number)) {
    const std::uint32_t number = std::max(mStep.number, aStep.number);
    mStep = aStep;
    mStep.number = number;
    mStepSince = aNow;
  }
  mStep.number = std::max(mStep.number, aStep.number);
}

void RolloutCoordinator::OnReport(const RolloutReport& aReport, TimePoint aNow)
{
  if (aReport.service != mOrder.service || aReport.orderId != mOrder.id) {
    return;
  }
  GateRecord& record = mGates[aReport.vm];
  const std::uint64_t before = CountRequests(record.latest.routes);
  if (CountRequests(aReport.routes) < before || record.latest.version != aReport.version) {
    mLostRequests += before;
    mLostExposed += record.latest.version == mOrder.target ? before : 0;
    record.history.clear();
  }
  record.latest = aReport;
  record.at = aNow;
  record.history.emplace_back(aNow, aReport.routes);
  while (record.history.size() > 1 && aNow - record.history.front().first > kRecentTime) {
    record.history.pop_front();
  }
}

bool RolloutCoordinator::IsFresh(const GateRecord& aRecord, TimePoint aNow) const
{
  return aNow - aRecord.at < kReportMaxAge;
}

std::vector<InstanceEvidence> RolloutCoordinator::Evidence(bool aRecent) const
{
  std::vector<InstanceEvidence> evidence;
  for (const auto& [vm, record] : mGates) {
    const RouteEvidence& latest = record.latest.routes;
    evidence.push_back({ vm,
                         record.latest.version == mOrder.target,
                         aRecent ? Difference(latest, record.history.front().second) : latest });
  }
  return evidence;
}

/** Bad by all evidence or by the recent one; good by all of it. */
VersionVerdict RolloutCoordinator::JudgeNow() const
{
  const VersionVerdict verdict = JudgeVersion(Evidence(false));
  if (verdict == VersionVerdict::kBad || JudgeVersion(Evidence(true)) == VersionVerdict::kBad) {
    return VersionVerdict::kBad;
  }
  return verdict;
}

void RolloutCoordinator::UpdateFacts(const std::vector<LiveGate>& aGates, TimePoint aNow)
{
  mFacts.age = aNow - mBegin;
  mFacts.duration = mOrder.duration;
  mFacts.inPhase = aNow - mStepSince;
  mFacts.phase = mStep.phase;
  mFacts.share = mStep.share;
  mFacts.oldGates = 0;
  mFacts.newGates = 0;
  for (const LiveGate& it : aGates) {
    const bool isTarget = it.version == mOrder.target;
    const auto record = mGates.find(it.vm);
    const bool usable =
      record != mGates.end() && IsFresh(record->second, aNow) && record->second.latest.warm;
    mFacts.targetKnown = mFacts.targetKnown || isTarget;
    mFacts.oldGates += isTarget ? 0 : 1;
    mFacts.newGates += isTarget && usable ? 1 : 0;
  }
  mFacts.requests = mLostRequests;
  mFacts.exposed = mLostExposed;
  double recent = 0;
  Duration window{ 0 };
  for (const auto& [vm, record] : mGates) {
    const std::uint64_t n = CountRequests(record.latest.routes);
    mFacts.requests += n;
    mFacts.exposed += record.latest.version == mOrder.target ? n : 0;
    recent += static_cast<double>(n - CountRequests(record.history.front().second));
    window = std::max(window, record.at - record.history.front().first);
  }
  const std::chrono::duration<double> seconds = window;
  mFacts.requestsPerSecond = seconds.count() > 0 ? recent / seconds.count() : 0;
  mFacts.verdict = JudgeNow();
}

/** The first warm gates of the new version by rank, so that a larger number keeps the earlier ones.
 */
std::set<std::string> RolloutCoordinator::ChooseGates(std::size_t aCount, TimePoint aNow) const
{
  std::vector<std::string> vms;
  for (const auto& [vm, record] : mGates) {
    if (record.latest.version == mOrder.target && record.latest.warm && IsFresh(record, aNow)) {
      vms.push_back(vm);
    }
  }
  SortByRank("canary/" + mOrder.service, vms);
  vms.resize(std::min(vms.size(), aCount));
  return { vms.begin(), vms.end() };
}

void RolloutCoordinator::SetStep(RolloutPhase aPhase,
                                 double aShare,
                                 const std::set<std::string>& aGates,
                                 TimePoint aNow)
{
  if (aPhase != mStep.phase || aShare != mStep.share) {
    mStepSince = aNow;
  }
  mStep.phase = aPhase;
  mStep.share = aShare;
  mStep.gates = aGates;
  ++mStep.number;
}

bool RolloutCoordinator::Update(const std::vector<LiveGate>& aGates, TimePoint aNow)
{
  UpdateFacts(aGates, aNow);
  const RolloutPlan plan = PlanRollout(mFacts, mSettings);
  if (mReason.empty()) {
    mReason = plan.reason;
  }
  const std::set<std::string> gates = ChooseGates(plan.gates, aNow);
  if (plan.phase == mStep.phase && plan.share == mStep.share && gates == mStep.gates &&
      mStep.number != 0) {
    return false;
  }
  SetStep(plan.phase, plan.share, gates, aNow);
  return true;
}

RolloutStep RolloutCoordinator::Step(TimePoint aNow) const
{
  RolloutStep step = mStep;
  step.age = std::chrono::duration_cast<Milliseconds>(aNow - mBegin);
  return step;
}

bool RolloutCoordinator::MayComplete(const std::vector<LiveGate>& aGates, TimePoint aNow) const
{
  if (mStep.phase != RolloutPhase::kNewOnly || mFacts.newGates == 0) {
    return false;
  }
  return std::all_of(aGates.begin(), aGates.end(), [&](const LiveGate& aGate) {
    if (aGate.version == mOrder.target) {
      return true;
    }
    const auto record = mGates.find(aGate.vm);
    return record != mGates.end() && IsFresh(record->second, aNow) &&
           record->second.latest.step >= mStep.number && record->second.latest.running == 0;
  });
}

std::string RolloutCoordinator::BaseVersion(const std::vector<LiveGate>& aGates) const
{
  std::map<std::string, std::size_t> counts;
  for (const LiveGate& it : aGates) {
    counts[it.version] += it.version != mOrder.target ? 1 : 0;
  }
  const auto most =
    std::max_element(counts.begin(), counts.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second < aTwo.second;
    });
  return most != counts.end() && most->second > 0 ? most->first : std::string();
}

} // namespace mustardwinch
