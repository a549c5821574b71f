#pragma once

#include "FakeLeases.h"
#include "history/RateHistoryCheck.h"
#include "limits/RateAgent.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace mustardwinch {

/** Results for one organisation, compared with an ideal central token bucket. */
struct RateTally
{
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t unconfirmed = 0; //!< included in `refused`
  std::uint64_t ideal = 0;       //!< admitted by the ideal bucket, without requests lost in crashes
  double waitMs = 0;             //!< sum over admitted requests
  std::vector<TimePoint> times;

  /** Number of requests inside the rate that were refused. */
  std::uint64_t Wrongful() const { return ideal > admitted ? ideal - admitted : 0; }

  /** Wrongful refusals in percent of the requests inside the rate. */
  double WrongfulPercent() const
  {
    return ideal > 0 ? 100.0 * static_cast<double>(Wrongful()) / static_cast<double>(ideal) : 0;
  }
};

/**
 * Discrete event simulation of several RateAgents in one thread, with paused clocks and message
 * delays. Each VM has its own clock, which may run fast or slow. Deterministic: the same calls give
 * the same history.
 */
class RateFleet
{
public:
  struct Vm
  {
    VmIdentity identity;
    double drift = 0;
    bool dead = false;
    bool paused = false;
    bool leaving = false;
    bool isolated = false; //!< no messages to or from others; each side sees only itself as live
    bool reachesPlatform = true;
    std::unique_ptr<Clock> clock;
    std::unique_ptr<RateAgent> agent;
    std::vector<std::function<void()>> deferredEvents; //!< run on Continue()
    struct Waiting
    {
      std::string organisation;
      TimePoint begun;
      bool ideal = false; //!< admitted by the ideal bucket
      std::shared_ptr<RateLimiter::Waiter> waiter;
    };
    std::vector<Waiting> waiting;
  };

  RateAgentOptions options;
  Duration oneWay{ Milliseconds(1) };
  Duration stepInterval{ Milliseconds(100) };
  FakeLeases leases;
  std::vector<std::unique_ptr<Vm>> vms;
  std::map<std::string, RateTally> tallies;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::function<bool(std::size_t, std::size_t)> cut = [](std::size_t, std::size_t) {
    return false;
  };

  TimePoint Now() const { return mNow; }

  void SetOrganisations(std::vector<Organisation> aOrganisations)
  {
    mOrganisations = std::move(aOrganisations);
    const std::vector<Resource> resources(mOrganisations.begin(), mOrganisations.end());
    mConfig.Replace(std::make_shared<ConfigSnapshot>(++mRevision, resources));
    for (const Organisation& it : mOrganisations) {
      Ideal& ideal = mIdeals[it.name];
      ideal.Advance(mNow);
      ideal.rate = it.ratePerSecond;
      ideal.burst = it.burst;
      RecordLimits(it);
    }
  }

  void AddVms(unsigned aCount, unsigned aDomains)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      auto vm = std::make_unique<Vm>();
      const std::size_t index = vms.size();
      vm->identity.name = "vm" + std::to_string(index);
      vm->identity.failureDomain = "fd" + std::to_string(index % aDomains);
      vm->identity.link = { 0x7F000001, static_cast<std::uint16_t>(23000 + index) };
      vms.push_back(std::move(vm));
      Boot(index);
    }
    NotifyMembersChanged();
  }

  /** Starts or restarts the process of a VM. */
  void Boot(std::size_t aIndex)
  {
    Vm& vm = *vms[aIndex];
    vm.identity.incarnation = ++mIncarnation;
    vm.dead = false;
    vm.paused = false;
    vm.leaving = false;
    vm.deferredEvents.clear();
    vm.waiting.clear();
    vm.agent.reset();
    vm.clock = std::make_unique<Clock>();
    vm.clock->Pause();
    RateAgentOptions mine = options;
    mine.self = vm.identity;
    vm.agent = RateAgent::Make(
      *vm.clock,
      mConfig,
      mine,
      leases.StoreFor([&vm] { return vm.reachesPlatform; }),
      [this, aIndex](const Address& aTo,
                     PeerMessage,
                     std::string aPayload,
                     Milliseconds aTimeout,
                     const RateAgent::ReplyFn& aReply) {
        Send(aIndex, aTo, std::move(aPayload), aTimeout, aReply);
      },
      [this, aIndex] { return Live(aIndex); });
    ScheduleStep(aIndex, vm.identity.incarnation);
    NotifyMembersChanged();
  }

  /** SIGKILL. Membership is updated at once; leases are unaffected. */
  void Kill(std::size_t aIndex)
  {
    Vm& vm = *vms[aIndex];
    vm.dead = true;
    for (const Vm::Waiting& it : vm.waiting) {
      tallies[it.organisation].ideal -= it.ideal ? 1 : 0;
    }
    vm.waiting.clear();
    NotifyMembersChanged();
  }

  /** Planned stop: releases its leases, then exits. */
  void Stop(std::size_t aIndex)
  {
    Vm& vm = *vms[aIndex];
    vm.leaving = true;
    vm.agent->Limiter().RunMaintenance();
    vm.agent->Release(vm.clock->Now());
    Kill(aIndex);
  }

  /** SIGSTOP. The VM's clock continues and membership drops the VM. */
  void Pause(std::size_t aIndex)
  {
    vms[aIndex]->paused = true;
    NotifyMembersChanged();
  }

  /** SIGCONT. First runs the deferred events in order. */
  void Continue(std::size_t aIndex)
  {
    Vm& vm = *vms[aIndex];
    vm.paused = false;
    const auto deferredEvents = std::move(vm.deferredEvents);
    vm.deferredEvents.clear();
    for (const auto& it : deferredEvents) {
      it();
    }
    PollWaiting(vm);
    NotifyMembersChanged();
  }

  void Request(std::size_t aIndex, const std::string& aOrganisation)
  {
    Vm& vm = *vms[aIndex];
    if (vm.dead || vm.paused) {
      return;
    }
    const auto organisation =
      std::find_if(mOrganisations.begin(), mOrganisations.end(), [&](const Organisation& aIt) {
        return aIt.name == aOrganisation;
      });
    const bool ideal = mIdeals[aOrganisation].Take(mNow);
    tallies[aOrganisation].ideal += ideal ? 1 : 0;
    auto begun = vm.agent->Limiter().Begin(*organisation, vm.clock->Now() + Seconds(5));
    if (const auto* decision = std::get_if<RateDecision>(&begun)) {
      Record(aOrganisation, *decision, mNow);
    } else {
      vm.waiting.push_back({ aOrganisation, mNow, ideal, std::get<1>(begun) });
    }
  }

  void At(Duration aAfter, std::function<void()> aDo)
  {
    mEvents.push({ mNow + aAfter, ++mEventCount, std::move(aDo) });
  }

  void Run(Duration aSpan)
  {
    const TimePoint end = mNow + aSpan;
    while (!mEvents.empty() && mEvents.top().at <= end) {
      const Event event = mEvents.top();
      mEvents.pop();
      AdvanceTo(event.at);
      event.run();
    }
    AdvanceTo(end);
  }

  /** Organisations that exceeded rate and burst, with the window in which they did. */
  std::map<std::string, RateViolation> Violations() const
  {
    std::map<std::string, RateViolation> violations;
    for (const auto& [name, tally] : tallies) {
      if (const auto it = RateHistoryCheck(mLimits.at(name)).Check(tally.times)) {
        violations.emplace(name, *it);
      }
    }
    return violations;
  }

  /** The VM that holds a slice according to the platform's lease record. */
  std::optional<std::size_t> HolderOf(const std::string& aOrganisation, unsigned aSlice) const
  {
    const std::uint32_t shard = ShardOf(aOrganisation, options.layout.shards);
    const auto it =
      leases.Leases().find("shard-" + std::to_string(shard) + "-slice-" + std::to_string(aSlice));
    if (it == leases.Leases().end() || it->second.record.released) {
      return std::nullopt;
    }
    return it->second.record.holder.link.port - 23000U;
  }

  void NotifyMembersChanged()
  {
    for (const auto& it : vms) {
      if (it->agent) {
        it->agent->OnMemberChange();
      }
    }
  }

  /** Live members as seen by a VM. */
  std::vector<VmIdentity> Live(std::size_t aViewer) const
  {
    std::vector<VmIdentity> live;
    for (const auto& it : vms) {
      const bool sameSide = it->isolated ? it == vms[aViewer] : !vms[aViewer]->isolated;
      if (sameSide && !it->dead && !it->paused && !it->leaving) {
        live.push_back(it->identity);
      }
    }
    return live;
  }

private:
  struct Event
  {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  /** A central token bucket that sees every request without delay. */
  struct Ideal
  {
    double rate = 0;
    double burst = 0;
    double level = 0;
    TimePoint at;

    void Advance(TimePoint aNow)
    {
      level = std::min(burst, level + rate * std::chrono::duration<double>(aNow - at).count());
      at = aNow;
    }

    bool Take(TimePoint aNow)
    {
      Advance(aNow);
      const bool admitted = level >= 1;
      level -= admitted ? 1 : 0;
      return admitted;
    }
  };

  /** The greater limit applies until a change has reached all nodes and old grants have expired. */
  void RecordLimits(const Organisation& aOrganisation)
  {
    std::vector<RateLimitChange>& changes = mLimits[aOrganisation.name];
    const double rate = aOrganisation.ratePerSecond;
    const double burst = aOrganisation.burst;
    if (changes.empty()) {
      changes.push_back({ mNow, rate, burst });
      return;
    }
    const RateLimitChange last = changes.back();
    const TimePoint begin = std::max(mNow, last.from);
    changes.push_back({ begin, std::max(rate, last.ratePerSecond), std::max(burst, last.burst) });
    changes.push_back({ begin + options.terms.grantLifetime + Seconds(1), rate, burst });
  }

  void AdvanceTo(TimePoint aTime)
  {
    const auto step = static_cast<double>((aTime - mNow).count());
    mNow = aTime;
    for (const auto& it : vms) {
      it->clock->Advance(Duration(std::llround(step * (1 + it->drift))));
    }
  }

  /** Runs aDo on a VM: deferred while it is paused, dropped if its process has ended. */
  void OnVm(std::size_t aIndex, std::uint64_t aIncarnation, const std::function<void()>& aDo)
  {
    Vm& vm = *vms[aIndex];
    if (vm.dead || vm.identity.incarnation != aIncarnation) {
      return;
    }
    if (vm.paused) {
      vm.deferredEvents.push_back(aDo);
      return;
    }
    aDo();
    PollWaiting(vm);
  }

  void ScheduleStep(std::size_t aIndex, std::uint64_t aIncarnation)
  {
    Vm& vm = *vms[aIndex];
    if (vm.dead || vm.identity.incarnation != aIncarnation) {
      return;
    }
    if (!vm.paused) {
      vm.agent->Step();
      vm.agent->Limiter().RunMaintenance();
      PollWaiting(vm);
    }
    At(stepInterval, [this, aIndex, aIncarnation] { ScheduleStep(aIndex, aIncarnation); });
  }

  void Send(std::size_t aFrom,
            const Address& aTo,
            std::string aPayload,
            Milliseconds aTimeout,
            const RateAgent::ReplyFn& aReply)
  {
    const std::size_t to = aTo.port - 23000U;
    const std::uint64_t fromIncarnation = vms[aFrom]->identity.incarnation;
    const std::uint64_t toIncarnation = vms[to]->identity.incarnation;
    auto answered = std::make_shared<bool>(false);
    const auto answer =
      [this, aFrom, fromIncarnation, answered, aReply](const Result<std::string>& aAnswer) {
        OnVm(aFrom, fromIncarnation, [answered, aReply, aAnswer] {
          if (!std::exchange(*answered, true)) {
            aReply(aAnswer);
          }
        });
      };
    ++messages;
    bytes += aPayload.size();
    At(aTimeout, [answer] { answer(ResultCode::kLinkTimeout); });
    if (IsCut(aFrom, to)) {
      return;
    }
    At(oneWay, [this, aFrom, to, toIncarnation, answer, payload = std::move(aPayload)] {
      OnVm(to, toIncarnation, [this, aFrom, to, answer, payload] {
        vms[to]->agent->Handle(payload,
                               [this, aFrom, to, answer](const Result<std::string>& aReply) {
                                 ++messages;
                                 bytes += aReply ? aReply.Value().size() : 0;
                                 if (!IsCut(to, aFrom)) {
                                   At(oneWay, [answer, aReply] { answer(aReply); });
                                 }
                               });
      });
    });
  }

  bool IsCut(std::size_t aFrom, std::size_t aTo) const
  {
    const bool apart = aFrom != aTo && (vms[aFrom]->isolated || vms[aTo]->isolated);
    return apart || cut(aFrom, aTo);
  }

  void PollWaiting(Vm& aVm)
  {
    std::erase_if(aVm.waiting, [&](const Vm::Waiting& aIt) {
      const auto decision = aVm.agent->Limiter().Poll(*aIt.waiter);
      if (decision) {
        Record(aIt.organisation, *decision, aIt.begun);
      }
      return decision.has_value();
    });
  }

  void Record(const std::string& aOrganisation, const RateDecision& aDecision, TimePoint aBegun)
  {
    RateTally& tally = tallies[aOrganisation];
    if (aDecision.code != ResultCode::kOk) {
      ++tally.refused;
      tally.unconfirmed += aDecision.code == ResultCode::kRateUnconfirmed ? 1 : 0;
      return;
    }
    ++tally.admitted;
    tally.waitMs += std::chrono::duration<double, std::milli>(mNow - aBegun).count();
    tally.times.push_back(mNow);
  }

  ConfigSource mConfig;
  std::vector<Organisation> mOrganisations;
  std::map<std::string, Ideal> mIdeals;
  std::map<std::string, std::vector<RateLimitChange>> mLimits;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventCount = 0;
  std::uint64_t mRevision = 0;
  std::uint64_t mIncarnation = 0;
  TimePoint mNow{ Seconds(1000) };
};

} // namespace mustardwinch
