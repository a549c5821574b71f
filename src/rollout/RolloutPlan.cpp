#include "rollout/RolloutPlan.h"

#include <algorithm>
#include <cmath>

namespace mustardwinch {
namespace {

/** Part of the bound that the canary share uses: the rest is for a version that turns bad later. */
constexpr double kCanaryPart = 0.5;

/** New upstreams that must be warm before the first request, if the service has as many. */
constexpr std::size_t kMinNewGates = 3;

// Parts of the time limit.
constexpr double kRampFrom = 0.45;        //!< until then the version is only observed
constexpr double kNewOnlyFrom = 0.6;      //!< later, so that old requests can end
constexpr double kUnknownUntil = 1.0 / 3; //!< no upstream has announced the version
constexpr double kUndecidedUntil = 0.8;

/** Time from the first bad answers to the last request: reports, judgement and the next step. */
constexpr double kReactionSeconds = 2;

/** Part of the slack that is planned with; the rest covers requests that are under way. */
constexpr double kSlackPart = 0.6;

constexpr double kFirstRampShare = 0.25;
constexpr double kLastRampShare = 0.5;
constexpr Milliseconds kRampTime{ 1'000 };

/** Largest share with which the bound holds if the version turns bad now. */
double BoundedShare(const RolloutFacts& aFacts, const RolloutSettings& aSettings)
{
  const std::chrono::duration<double> left = std::max(aFacts.duration - aFacts.age, Duration(0));
  const double expected =
    static_cast<double>(aFacts.requests) + aFacts.requestsPerSecond * left.count();
  const double allowed = aSettings.exposeShare * expected + kSlackPart * aSettings.exposeSlack -
                         static_cast<double>(aFacts.exposed);
  const double soon = std::max(1.0, aFacts.requestsPerSecond * kReactionSeconds);
  return std::clamp(allowed / soon, 0.0, 1.0);
}

/** Upstreams that bear the usual load with a share of the requests. */
std::size_t GatesFor(double aShare, const RolloutFacts& aFacts)
{
  const auto usual =
    static_cast<std::size_t>(std::lround(aShare * static_cast<double>(aFacts.oldGates)));
  return std::min(aFacts.newGates, std::max(usual, kMinNewGates));
}

RolloutPlan Canary(const RolloutFacts& aFacts, const RolloutSettings& aSettings)
{
  const double share =
    std::min(kCanaryPart * aSettings.exposeShare, BoundedShare(aFacts, aSettings));
  return { RolloutPhase::kCanary, share, GatesFor(share, aFacts), {} };
}

RolloutPlan RollBack(const char* aReason)
{
  return { RolloutPhase::kRolledBack, 0, 0, aReason };
}

RolloutPlan Ramp(const RolloutFacts& aFacts, const RolloutSettings& aSettings)
{
  const double part =
    std::chrono::duration<double>(aFacts.age) / std::chrono::duration<double>(aFacts.duration);
  const bool ramping = aFacts.phase == RolloutPhase::kRamp;
  if (ramping && aFacts.inPhase < kRampTime) {
    return { RolloutPhase::kRamp, aFacts.share, GatesFor(aFacts.share, aFacts), {} };
  }
  if (ramping && aFacts.share >= kFirstRampShare && part >= kNewOnlyFrom) {
    return { RolloutPhase::kNewOnly, 1, 0, {} };
  }
  const double wanted = ramping ? kLastRampShare : kFirstRampShare;
  const double bounded = BoundedShare(aFacts, aSettings);
  // A service with few requests is judged on few, and its slack alone bears the ramp.
  const double share = std::max(aFacts.share, std::min(wanted, bounded));
  if (ramping && share < kFirstRampShare && part >= kNewOnlyFrom) {
    return { RolloutPhase::kNewOnly, 1, 0, {} };
  }
  return { RolloutPhase::kRamp, share, GatesFor(share, aFacts), {} };
}

} // namespace

RolloutPlan PlanRollout(const RolloutFacts& aFacts, const RolloutSettings& aSettings)
{
  const double part = std::chrono::duration<double>(aFacts.age) /
                      std::chrono::duration<double>(std::max(aFacts.duration, Duration(1)));
  if (aFacts.phase == RolloutPhase::kRolledBack) {
    return RollBack("");
  }
  if (aFacts.verdict == VersionVerdict::kBad) {
    return RollBack("the version fails or is slow");
  }
  if (aFacts.phase == RolloutPhase::kNewOnly) {
    return { RolloutPhase::kNewOnly, 1, 0, {} };
  }
  if (!aFacts.targetKnown && part > kUnknownUntil) {
    return RollBack("no upstream of the version has announced itself");
  }
  const bool good = aFacts.verdict == VersionVerdict::kGood;
  if (!good && part > kUndecidedUntil) {
    return RollBack("too few requests to judge the version");
  }
  const std::size_t needed = std::clamp<std::size_t>(aFacts.oldGates, 1, kMinNewGates);
  if (aFacts.newGates < needed && aFacts.phase == RolloutPhase::kWaiting) {
    return {};
  }
  if (aFacts.phase == RolloutPhase::kRamp && good) {
    return Ramp(aFacts, aSettings);
  }
  if (good && part >= kRampFrom) {
    return Ramp(aFacts, aSettings);
  }
  return Canary(aFacts, aSettings);
}

} // namespace mustardwinch
