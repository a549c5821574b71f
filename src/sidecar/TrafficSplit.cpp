#include "sidecar/TrafficSplit.h"

namespace mustardwinch {
namespace {

constexpr double kGoldenStep = 0.6180339887498949;

} // namespace

double InitialSplitPosition(std::uint64_t aRandomBits)
{
  constexpr std::uint64_t kRange = 1U << 20;
  return static_cast<double>(aRandomBits % kRange) / static_cast<double>(kRange);
}

const std::string& ChooseTarget(const TrafficRoute& aRoute, double& aPosition)
{
  aPosition += kGoldenStep;
  aPosition -= aPosition >= 1 ? 1 : 0;
  double total = 0;
  for (const RouteTarget& it : aRoute.targets) {
    total += it.weight;
  }
  double at = aPosition * total;
  for (const RouteTarget& it : aRoute.targets) {
    at -= it.weight;
    if (at < 0) {
      return it.service;
    }
  }
  return aRoute.targets.back().service;
}

} // namespace mustardwinch
