#include "soak/WireFaultPlan.h"

#include <random>

namespace mustardwinch::soak {
namespace {

constexpr double kMeanGapMs = 500;
constexpr double kShortestMs = 1'000; //!< some requests reach the upstream meanwhile
constexpr double kLongestMs = 4'000;
constexpr std::uint64_t kSeedMix = 0x9e3779b97f4a7c15ULL;

} // namespace

const char* NameOf(WireFault aFault)
{
  constexpr const char* kNames[kWireFaults + 1] = {
    "late-rejection",    "late-failure",     "late-success",
    "refuses-after-run", "stops-in-head",    "stops-in-body",
    "rejects-early",     "resets-unbounded", "none",
  };
  return kNames[static_cast<std::size_t>(aFault)];
}

std::vector<WireStep> MakeWirePlan(std::uint64_t aSeed, std::size_t aNodes, Milliseconds aLength)
{
  std::mt19937_64 random(aSeed ^ kSeedMix);
  std::uniform_int_distribution<std::size_t> fault(0, kWireFaults - 1);
  std::uniform_int_distribution<std::size_t> target(0, aNodes - 1);
  std::uniform_real_distribution<> length(kShortestMs, kLongestMs);
  std::vector<WireStep> plan;
  double at = 0;
  while (true) {
    at += std::exponential_distribution<>(1 / kMeanGapMs)(random);
    const Milliseconds begin(static_cast<std::int64_t>(at));
    if (begin >= aLength) {
      return plan;
    }
    const auto what = static_cast<WireFault>(fault(random));
    const std::size_t whom = target(random);
    plan.push_back({ what, whom, begin, Milliseconds(static_cast<std::int64_t>(length(random))) });
  }
}

} // namespace mustardwinch::soak
