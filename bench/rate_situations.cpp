// Compares ways to hold organisations to their rates in the situations that matter:
//   bench_rate_situations [SEEDS] [tails]
// First the shares of the right that a holder may keep in a lease's tail ("tails": only these).
// 33 VMs in 4 failure domains, 8 organisations, one-way delay 1.5 ms, the same arrivals for all
// ways.

#include "../tests/limits/RateFleet.h"
#include "mustardwinch/Event.h"

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>
#include <string_view>

using namespace mustardwinch;

namespace {

constexpr unsigned kVms = 33;
constexpr unsigned kDomains = 4;
constexpr Seconds kSettle{ 90 }; // the slices have moved to their preferred owners
constexpr Seconds kSpan{ 60 };

/** Where and when requests arrive, and what fails meanwhile. */
enum class Situation : std::uint8_t
{
  kSpread,
  kOneVm,
  kHopping,
  kIdle,
  kPlannedRestarts,
  kCrash,
  kPlatformAway,
  kCrashAndRestart,
  kVmLost,
};

constexpr std::array kSituations{
  std::pair{ Situation::kSpread, "spread over all VMs" },
  std::pair{ Situation::kOneVm, "all on one VM" },
  std::pair{ Situation::kHopping, "hops every second" },
  std::pair{ Situation::kIdle, "burst after idling" },
  std::pair{ Situation::kPlannedRestarts, "owner restarts, 1/6 s" },
  std::pair{ Situation::kCrash, "owner crashes, back in 20 s" },
  std::pair{ Situation::kPlatformAway, "platform away" },
};

/** Those in which the tail of a lease matters. */
constexpr std::array kTailSituations{
  std::pair{ Situation::kPlatformAway, "platform away" },
  std::pair{ Situation::kVmLost, "owner's VM lost for good" },
  std::pair{ Situation::kCrash, "owner crashes, back in 20 s" },
  std::pair{ Situation::kCrashAndRestart, "owner crashes, back in 3 s" },
};

/** Eighths of its right that a holder keeps in the tail. */
constexpr std::array kTailShares{ 4U, 6U, 7U };

struct Arrival
{
  Duration at{ 0 };
  std::size_t vm = 0;
  std::string organisation;
};

/** Organisations of 100 a second (two), 20 (four) and 4 (two); the burst is half a second's rate.
 */
std::vector<Organisation> MakeOrganisations()
{
  std::vector<Organisation> organisations;
  for (double rate : { 100, 100, 20, 20, 20, 20, 4, 4 }) {
    const auto burst = static_cast<std::uint32_t>(std::max(4.0, rate / 2));
    organisations.push_back({ "org" + std::to_string(organisations.size()), {}, rate, burst });
  }
  return organisations;
}

std::size_t VmFor(Situation aSituation,
                  std::size_t aOrganisation,
                  Duration aAt,
                  std::mt19937& aRandom)
{
  const auto second = static_cast<std::size_t>(aAt / Seconds(1));
  if (aSituation == Situation::kOneVm) {
    return aOrganisation;
  }
  if (aSituation == Situation::kHopping) {
    return (aOrganisation * 7 + second * 5) % kVms;
  }
  return aRandom() % kVms;
}

/** Demand at 80% of the rate; after idling: the burst at once every ten seconds. */
std::vector<Arrival> MakeArrivals(Situation aSituation, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::vector<Arrival> arrivals;
  const auto organisations = MakeOrganisations();
  for (std::size_t i = 0; i < organisations.size(); ++i) {
    const Organisation& it = organisations[i];
    if (aSituation == Situation::kIdle) {
      for (Duration at{ Seconds(5) }; at < kSpan; at += Seconds(10)) {
        const std::size_t vm = random() % kVms;
        for (std::uint32_t n = 0; n < it.burst; ++n) {
          arrivals.push_back({ at + Milliseconds(n), vm, it.name });
        }
      }
      continue;
    }
    std::exponential_distribution<double> gap(it.ratePerSecond * 0.8);
    for (Duration at{ 0 }; at < kSpan;) {
      arrivals.push_back({ at, VmFor(aSituation, i, at, random), it.name });
      at += Duration(static_cast<std::int64_t>(gap(random) * 1e9));
    }
  }
  return arrivals;
}

struct Figures
{
  double wrongful = 0;       //!< per cent
  double worst = 0;          //!< the same of the worst-served organisation
  double waitMs = 0;         //!< mean over the admitted
  double messages = 0;       //!< per request
  double bytesPerSecond = 0; //!< per VM
  double calls = 0;          //!< of the platform, per second
  bool held = true;
};

/** Equal static shares: every VM has the same part of each rate and burst for itself. */
Figures RunStatic(Situation aSituation, unsigned aSeed)
{
  struct Bucket
  {
    double level = 0;
    Duration at{ 0 };

    bool Take(double aRate, double aBurst, Duration aNow)
    {
      level = std::min(aBurst, level + aRate * std::chrono::duration<double>(aNow - at).count());
      at = aNow;
      const bool admitted = level >= 1;
      level -= admitted ? 1 : 0;
      return admitted;
    }
  };
  std::map<std::string, Organisation> organisations;
  for (const Organisation& it : MakeOrganisations()) {
    organisations.emplace(it.name, it);
  }
  std::map<std::pair<std::string, std::size_t>, Bucket> buckets;
  std::map<std::string, Bucket> ideals;
  std::map<std::string, std::pair<double, double>> counts; // ideal, admitted
  std::map<std::string, std::vector<TimePoint>> times;
  auto arrivals = MakeArrivals(aSituation, aSeed);
  std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& aLeft, const Arrival& aRight) {
    return aLeft.at < aRight.at;
  });
  for (const Arrival& it : arrivals) {
    const Organisation& organisation = organisations.at(it.organisation);
    const double rate = organisation.ratePerSecond;
    const double burst = organisation.burst;
    const Duration now = it.at + kSettle;
    auto& [ideal, admitted] = counts[it.organisation];
    ideal += ideals[it.organisation].Take(rate, burst, now) ? 1 : 0;
    // A share below one token would never admit, so each VM gets at least one: over the burst.
    const double share = std::max(1.0, burst / kVms);
    Bucket& bucket = buckets[{ it.organisation, it.vm }];
    if (bucket.Take(rate / kVms, share, now)) {
      ++admitted;
      times[it.organisation].push_back(TimePoint(now));
    }
  }
  double ideal = 0;
  double missing = 0;
  for (const auto& [name, count] : counts) {
    ideal += count.first;
    missing += std::max(0.0, count.first - count.second);
  }
  Figures figures;
  for (const auto& [name, admitted] : times) {
    const Organisation& it = organisations.at(name);
    const RateHistoryCheck check({ { TimePoint(), it.ratePerSecond, double(it.burst) } });
    figures.held = figures.held && !check.Check(admitted);
  }
  figures.wrongful = 100 * missing / ideal;
  return figures;
}

/** How long the process that crashes is away; nothing if none does. */
std::optional<Duration> CrashSpan(Situation aSituation)
{
  switch (aSituation) {
    case Situation::kCrash:
      return Seconds(20);
    case Situation::kCrashAndRestart:
      return Seconds(3);
    case Situation::kVmLost:
      return Duration(std::chrono::hours(4));
    default:
      return std::nullopt;
  }
}

void Strike(RateFleet& aFleet, Situation aSituation, std::size_t aSecond)
{
  if (aSituation == Situation::kPlannedRestarts && aSecond % 6 == 3) {
    const std::string name = "org" + std::to_string(aSecond / 6 % 8);
    const auto holder = aFleet.HolderOf(name, aSecond / 6 % 2);
    if (holder && !aFleet.vms[*holder]->dead) {
      aFleet.Stop(*holder);
      aFleet.At(Seconds(3), [&aFleet, vm = *holder] { aFleet.Boot(vm); });
    }
  }
  if (const auto away = CrashSpan(aSituation); away && aSecond == 5) {
    const std::size_t holder = aFleet.HolderOf("org0", 0).value_or(0);
    aFleet.Kill(holder);
    aFleet.At(*away, [&aFleet, holder] { aFleet.Boot(holder); });
  }
  if (aSituation == Situation::kPlatformAway && aSecond == 5) {
    aFleet.leases.unavailable = true;
  }
}

Figures RunFleet(Situation aSituation, unsigned aSeed, const RateAgentOptions& aOptions)
{
  RateFleet fleet;
  fleet.options = aOptions;
  fleet.oneWay = std::chrono::microseconds(1500);
  fleet.SetOrganisations(MakeOrganisations());
  fleet.AddVms(kVms, kDomains);
  fleet.Run(kSettle);
  fleet.messages = 0;
  fleet.bytes = 0;
  const std::uint64_t calls = fleet.leases.calls;
  const auto arrivals = MakeArrivals(aSituation, aSeed);
  for (const Arrival& it : arrivals) {
    fleet.At(it.at, [&fleet, it] {
      // A caller whose VM is down connects to the next one.
      std::size_t vm = it.vm;
      while (fleet.vms[vm]->dead) {
        vm = (vm + 1) % kVms;
      }
      fleet.Request(vm, it.organisation);
    });
  }
  for (std::size_t second = 0; second < 60; ++second) {
    fleet.At(Seconds(second), [&fleet, aSituation, second] { Strike(fleet, aSituation, second); });
  }
  fleet.Run(kSpan + Seconds(1));
  double ideal = 0;
  double missing = 0;
  double admitted = 0;
  double waitMs = 0;
  double worst = 0;
  for (const auto& [name, tally] : fleet.tallies) {
    ideal += static_cast<double>(tally.ideal);
    missing += static_cast<double>(tally.Wrongful());
    admitted += static_cast<double>(tally.admitted);
    waitMs += tally.waitMs;
    worst = std::max(worst, tally.WrongfulPercent());
  }
  const double seconds = std::chrono::duration<double>(kSpan).count();
  Figures figures;
  figures.wrongful = 100 * missing / ideal;
  figures.worst = worst;
  figures.waitMs = waitMs / admitted;
  figures.messages = static_cast<double>(fleet.messages) / static_cast<double>(arrivals.size());
  figures.bytesPerSecond = static_cast<double>(fleet.bytes) / seconds / kVms;
  figures.calls = static_cast<double>(fleet.leases.calls - calls) / seconds;
  figures.held = fleet.Violations().empty();
  return figures;
}

template<typename Field>
double MedianOf(const std::vector<Figures>& aRuns, Field aField)
{
  std::vector<double> values;
  values.reserve(aRuns.size());
  for (const Figures& it : aRuns) {
    values.push_back(it.*aField);
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void Print(const char* aSituation, const char* aWay, const std::vector<Figures>& aRuns)
{
  const bool held =
    std::all_of(aRuns.begin(), aRuns.end(), [](const Figures& aIt) { return aIt.held; });
  std::printf("| %s | %s | %.2f | %.2f | %.2f | %.0f | %.1f | %s |\n",
              aSituation,
              aWay,
              MedianOf(aRuns, &Figures::wrongful),
              MedianOf(aRuns, &Figures::waitMs),
              MedianOf(aRuns, &Figures::messages),
              MedianOf(aRuns, &Figures::bytesPerSecond),
              MedianOf(aRuns, &Figures::calls),
              held ? "yes" : "no");
}

void PrintTail(const char* aSituation, unsigned aEighths, const std::vector<Figures>& aRuns)
{
  const bool held =
    std::all_of(aRuns.begin(), aRuns.end(), [](const Figures& aIt) { return aIt.held; });
  std::printf("| %s | %u/8 | %.2f | %.2f | %s |\n",
              aSituation,
              aEighths,
              MedianOf(aRuns, &Figures::wrongful),
              MedianOf(aRuns, &Figures::worst),
              held ? "yes" : "no");
  std::fflush(stdout);
}

void CompareTails(unsigned aSeeds)
{
  std::printf("| situation | tail | wrongful %% | worst organisation %% | promise held |\n"
              "| --- | --- | --- | --- | --- |\n");
  for (const auto& [situation, name] : kTailSituations) {
    for (const unsigned eighths : kTailShares) {
      RateAgentOptions options;
      options.terms.tailEighths = eighths;
      std::vector<Figures> runs;
      for (unsigned seed = 1; seed <= aSeeds; ++seed) {
        runs.push_back(RunFleet(situation, seed, options));
      }
      PrintTail(name, eighths, runs);
    }
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  InitLogging("bench", "error");
  const unsigned seeds = aCount > 1 ? static_cast<unsigned>(std::atoi(aArguments[1])) : 5;
  CompareTails(seeds);
  if (aCount > 2 && std::string_view(aArguments[2]) == "tails") {
    return 0;
  }
  RateAgentOptions grants;
  RateAgentOptions oneOwner;
  oneOwner.layout.slices = 1;
  RateAgentOptions perRequest;
  perRequest.prefetchFromRate = std::numeric_limits<double>::infinity();
  std::printf("| situation | way | wrongful %% | added ms | messages/request | B/s a VM | platform "
              "calls/s | promise held |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& [situation, name] : kSituations) {
    std::vector<Figures> shares;
    std::vector<Figures> checks;
    std::vector<Figures> single;
    std::vector<Figures> ours;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      shares.push_back(RunStatic(situation, seed));
      checks.push_back(RunFleet(situation, seed, perRequest));
      single.push_back(RunFleet(situation, seed, oneOwner));
      ours.push_back(RunFleet(situation, seed, grants));
    }
    Print(name, "equal static shares", shares);
    Print(name, "check at owners, per request", checks);
    Print(name, "grants, 1 slice", single);
    Print(name, "grants, 2 slices", ours);
    std::fflush(stdout);
  }
  return 0;
}
