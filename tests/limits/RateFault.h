#pragma once

#include "SmallFleet.h"

#include <array>

namespace mustardwinch {

/** A fault to inject into a running fleet. Temporary faults end by themselves. */
struct RateFault
{
  const char* name;
  void (*inject)(SmallFleet& aFleet, std::size_t aVm);
};

namespace faults {

inline void PauseVm(SmallFleet& aIt, std::size_t aVm)
{
  RateFleet& fleet = aIt.fleet;
  if (fleet.vms[aVm]->dead) {
    return;
  }
  fleet.Pause(aVm);
  fleet.At(Seconds(25), [&fleet, aVm] { fleet.Continue(aVm); });
}

inline void Crash(SmallFleet& aIt, std::size_t aVm)
{
  aIt.fleet.Kill(aVm);
}

inline void CrashAndReboot(SmallFleet& aIt, std::size_t aVm)
{
  RateFleet& fleet = aIt.fleet;
  fleet.Kill(aVm);
  fleet.At(Seconds(1), [&fleet, aVm] { fleet.Boot(aVm); });
}

inline void PlannedRestart(SmallFleet& aIt, std::size_t aVm)
{
  RateFleet& fleet = aIt.fleet;
  if (fleet.vms[aVm]->dead || fleet.vms[aVm]->paused) {
    return;
  }
  fleet.Stop(aVm);
  fleet.At(Seconds(2), [&fleet, aVm] { fleet.Boot(aVm); });
}

inline void PlatformUnavailable(SmallFleet& aIt, std::size_t /*aVm*/)
{
  RateFleet& fleet = aIt.fleet;
  fleet.leases.unavailable = true;
  fleet.At(Seconds(25), [&fleet] { fleet.leases.unavailable = false; });
}

inline void LoseReplies(SmallFleet& aIt, std::size_t /*aVm*/)
{
  aIt.fleet.leases.loseReplies = 6;
}

inline void CutFromPlatform(SmallFleet& aIt, std::size_t aVm)
{
  RateFleet& fleet = aIt.fleet;
  fleet.vms[aVm]->reachesPlatform = false;
  fleet.At(Seconds(25), [&fleet, aVm] { fleet.vms[aVm]->reachesPlatform = true; });
}

inline void DropOutgoing(SmallFleet& aIt, std::size_t aVm)
{
  RateFleet& fleet = aIt.fleet;
  fleet.cut = [aVm](std::size_t aFrom, std::size_t) { return aFrom == aVm; };
  fleet.At(Seconds(10), [&fleet] { fleet.cut = [](std::size_t, std::size_t) { return false; }; });
}

inline void Isolate(SmallFleet& aIt, std::size_t aVm, bool aReachesPlatform)
{
  RateFleet& fleet = aIt.fleet;
  fleet.vms[aVm]->isolated = true;
  fleet.vms[aVm]->reachesPlatform = aReachesPlatform;
  fleet.NotifyMembersChanged();
  fleet.At(Seconds(25), [&fleet, aVm] {
    fleet.vms[aVm]->isolated = false;
    fleet.vms[aVm]->reachesPlatform = true;
    fleet.NotifyMembersChanged();
  });
}

inline void PartitionWithPlatform(SmallFleet& aIt, std::size_t aVm)
{
  Isolate(aIt, aVm, true);
}

inline void PartitionWithoutPlatform(SmallFleet& aIt, std::size_t aVm)
{
  Isolate(aIt, aVm, false);
}

inline void ChangeRate(SmallFleet& aIt, std::size_t /*aVm*/)
{
  RateFleet& fleet = aIt.fleet;
  fleet.SetOrganisations({ { "verge", {}, 80, 8 } });
  fleet.At(Seconds(6), [&fleet] { fleet.SetOrganisations({ { "verge", {}, 40, 20 } }); });
}

inline void AddVm(SmallFleet& aIt, std::size_t /*aVm*/)
{
  aIt.fleet.AddVms(1, 2);
}

} // namespace faults

constexpr std::array kRateFaults{
  RateFault{ "pause longer than the short term", faults::PauseVm },
  RateFault{ "crash", faults::Crash },
  RateFault{ "crash and reboot", faults::CrashAndReboot },
  RateFault{ "planned restart", faults::PlannedRestart },
  RateFault{ "platform unavailable", faults::PlatformUnavailable },
  RateFault{ "lost replies", faults::LoseReplies },
  RateFault{ "holder cannot reach the platform", faults::CutFromPlatform },
  RateFault{ "outgoing messages dropped", faults::DropOutgoing },
  RateFault{ "partition, holder reaches the platform", faults::PartitionWithPlatform },
  RateFault{ "partition, holder does not reach the platform", faults::PartitionWithoutPlatform },
  RateFault{ "change of rate", faults::ChangeRate },
  RateFault{ "new VM", faults::AddVm },
};

} // namespace mustardwinch
