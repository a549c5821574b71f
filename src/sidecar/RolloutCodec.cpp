#include "sidecar/RolloutCodec.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** Routes beyond this number are left out of a report. */
constexpr std::size_t kMaxRoutes = 64;

RouteCountsMessage ToMessage(const std::string& aRoute, const RouteCounts& aCounts)
{
  RouteCountsMessage message{ aRoute, aCounts.requests, aCounts.failures, {} };
  const auto last = std::find_if(
    aCounts.times.rbegin(), aCounts.times.rend(), [](std::uint32_t aCount) { return aCount != 0; });
  message.times.assign(aCounts.times.begin(), last.base());
  return message;
}

RouteCounts ToCounts(const RouteCountsMessage& aMessage)
{
  RouteCounts counts;
  counts.requests = aMessage.requests;
  counts.failures = std::min(aMessage.failures, aMessage.requests);
  const std::size_t n = std::min(aMessage.times.size(), RouteCounts::kBuckets);
  std::copy_n(aMessage.times.begin(), n, counts.times.begin());
  return counts;
}

} // namespace

RolloutReportMessage ToMessage(const RolloutReport& aReport)
{
  RolloutReportMessage message{ aReport.service, aReport.orderId, aReport.step,    aReport.vm,
                                aReport.version, aReport.warm,    aReport.running, {} };
  for (const auto& [route, counts] : aReport.routes) {
    if (message.routes.size() < kMaxRoutes) {
      message.routes.push_back(ToMessage(route, counts));
    }
  }
  return message;
}

RolloutReport FromMessage(const RolloutReportMessage& aMessage)
{
  RolloutReport report{ aMessage.service, aMessage.orderId, aMessage.step,    aMessage.vm,
                        aMessage.version, aMessage.warm,    aMessage.running, {} };
  for (const RouteCountsMessage& it : aMessage.routes) {
    if (report.routes.size() < kMaxRoutes) {
      report.routes[it.route] = ToCounts(it);
    }
  }
  return report;
}

RolloutStepMessage ToMessage(const RolloutStep& aStep)
{
  return { aStep.order.service,
           aStep.order.target,
           static_cast<std::uint64_t>(aStep.order.duration.count()),
           aStep.order.id,
           aStep.number,
           static_cast<std::uint8_t>(aStep.phase),
           aStep.share,
           { aStep.gates.begin(), aStep.gates.end() },
           static_cast<std::uint64_t>(aStep.age.count()) };
}

std::optional<RolloutStep> FromMessage(const RolloutStepMessage& aMessage)
{
  const bool isShare = aMessage.share >= 0 && aMessage.share <= 1;
  if (aMessage.phase > static_cast<std::uint8_t>(RolloutPhase::kRolledBack) || !isShare) {
    return std::nullopt;
  }
  RolloutStep step;
  step.order = {
    aMessage.service, aMessage.target, Milliseconds(aMessage.durationMs), aMessage.orderId
  };
  step.number = aMessage.number;
  step.phase = static_cast<RolloutPhase>(aMessage.phase);
  step.share = aMessage.share;
  step.gates = { aMessage.gates.begin(), aMessage.gates.end() };
  step.age = Milliseconds(aMessage.ageMs);
  return step;
}

} // namespace mustardwinch
