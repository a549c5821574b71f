#pragma once

#include "RateFleet.h"
#include "mustardwinch/Event.h"

#include <random>

namespace mustardwinch {

/** Four VMs in two failure domains and one organisation, after all leases are acquired. */
struct SmallFleet
{
  RateFleet fleet;
  std::mt19937 random{ 7 };

  SmallFleet()
  {
    InitLogging("test", "error");
    fleet.options.layout = { 2, 2 };
    fleet.SetOrganisations({ { "verge", {}, 40, 20 } });
    fleet.AddVms(4, 2);
    fleet.Run(Seconds(5));
  }

  /** Sends requests with exponential gaps at a mean rate, each to a random VM. */
  void Demand(double aRate, Duration aSpan)
  {
    std::exponential_distribution<double> gap(aRate);
    Duration at{ 0 };
    while (at < aSpan) {
      const std::size_t vm = random() % fleet.vms.size();
      fleet.At(at, [this, vm] { fleet.Request(vm, "verge"); });
      at += Duration(static_cast<std::int64_t>(gap(random) * 1e9));
    }
    fleet.Run(aSpan);
  }

  const RateTally& Tally() { return fleet.tallies["verge"]; }

  /** Number of requests admitted while aDo runs. */
  template<typename Do>
  std::uint64_t AdmittedDuring(Do aDo)
  {
    const std::uint64_t before = Tally().admitted;
    aDo();
    return Tally().admitted - before;
  }

  std::size_t Holder(unsigned aSlice = 0) const
  {
    return fleet.HolderOf("verge", aSlice).value_or(0);
  }
};

} // namespace mustardwinch
