#include "soak/StorePlan.h"

#include <random>

namespace mustardwinch::soak {
namespace {

constexpr std::uint64_t kStream = 0x5707E; //!< of random numbers, apart from those of other plans
constexpr double kMeanGapMs = 2'500;
constexpr double kOldestCopyMs = 4'000;
constexpr double kLongestAwayMs = 2'000;
constexpr double kLongestRewriteMs = 800;
constexpr double kAtOnceShare = 0.5; //!< the operator writes again as soon as the store is back
constexpr double kSilentShare = 0.4;
constexpr double kCutShare = 0.6;

Milliseconds Whole(double aMs)
{
  return Milliseconds(static_cast<std::int64_t>(aMs));
}

} // namespace

std::vector<StoreStep> MakeStorePlan(std::uint64_t aSeed, Milliseconds aLength)
{
  std::mt19937_64 random(aSeed ^ kStream);
  std::uniform_real_distribution<> share(0, 1);
  std::vector<StoreStep> plan;
  double at = 0;
  while (true) {
    at += std::exponential_distribution<>(1 / kMeanGapMs)(random);
    StoreStep step;
    step.copied = Whole(at);
    step.away = step.copied + Whole(kOldestCopyMs * share(random));
    step.back = step.away + Whole(kLongestAwayMs * share(random));
    const bool atOnce = share(random) < kAtOnceShare;
    step.rewritten = step.back + Whole(atOnce ? 0 : kLongestRewriteMs * share(random));
    step.silent = share(random) < kSilentShare;
    step.cuts = share(random) < kCutShare;
    if (step.rewritten >= aLength) {
      return plan;
    }
    plan.push_back(step);
    at = static_cast<double>(step.rewritten.count());
  }
}

} // namespace mustardwinch::soak
