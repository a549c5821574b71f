#include "soak/FaultPlan.h"

#include <random>

namespace mustardwinch::soak {
namespace {

constexpr double kMeanGapMs = 900;   // several faults are under way at most times
constexpr double kSeriesGapMs = 120; // a series strikes while the last fault is being noticed
constexpr double kSeriesShare = 0.5;
constexpr double kShortestMs = 300;
constexpr double kLongestMs = 5'000;

} // namespace

const char* NameOf(FaultKind aKind)
{
  constexpr const char* kNames[kFaultKinds] = {
    "stop-node",      "kill-node",      "kill-all-nodes", "pause-node",        "reload-node",
    "silence-link",   "cut-to-node",    "cut-from-node",  "delay-link",        "reset-link",
    "store-busy",     "store-too-many", "store-silent",   "store-loses-reply", "store-malformed",
    "store-forgets",  "upstream-gray",  "upstream-hangs", "upstream-sheds",    "upstream-crash",
    "upstream-drain", "replace-key",    "evacuate",
  };
  return kNames[static_cast<std::size_t>(aKind)];
}

std::vector<FaultStep> MakeFaultPlan(std::uint64_t aSeed, std::size_t aNodes, Milliseconds aLength)
{
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<std::size_t> kind(0, kFaultKinds - 1);
  std::uniform_int_distribution<std::size_t> target(0, aNodes - 1);
  std::uniform_real_distribution<> length(kShortestMs, kLongestMs);
  std::uniform_real_distribution<> share(0, 1);
  std::vector<FaultStep> plan;
  double at = 0;
  while (true) {
    const double mean = share(random) < kSeriesShare ? kSeriesGapMs : kMeanGapMs;
    at += std::exponential_distribution<>(1 / mean)(random);
    const Milliseconds begin(static_cast<std::int64_t>(at));
    if (begin >= aLength) {
      return plan;
    }
    const auto what = static_cast<FaultKind>(kind(random));
    const std::size_t whom = target(random);
    plan.push_back({ what, whom, begin, Milliseconds(static_cast<std::int64_t>(length(random))) });
  }
}

} // namespace mustardwinch::soak
