#pragma once

#include "gate/GateScheduler.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardwinch {

/** A gate with one upstream of seven slots whose ramp has ended, on a paused clock. */
struct GateFixture
{
  GateFixture()
  {
    clock.Pause();
    clock.Advance(Seconds(100));
    Configure({});
    AnnounceFor(Seconds(12));
    WarmUp();
  }

  void Configure(std::vector<Resource> aResources)
  {
    aResources.emplace_back(Service{ "booking", 10'000, 7, 400 });
    config.Replace(std::make_shared<ConfigSnapshot>(++revision, std::move(aResources)));
  }

  void AnnounceFor(Seconds aTime)
  {
    for (Seconds t{ 0 }; t <= aTime; t += Seconds(1)) {
      gate.Announce(announcement);
      gate.Tick();
      clock.Advance(Seconds(1));
    }
    gate.Announce(announcement);
  }

  /** Sends enough good responses for the adaptive limit to reach all slots. */
  void WarmUp()
  {
    for (int i = 0; i < 60; ++i) {
      Submit("warm");
      clock.Advance(Milliseconds(1));
      gate.Finish(upstream, Good(), "warm");
    }
    started.clear();
  }

  static AttemptResult Good(Milliseconds aTime = Milliseconds(20))
  {
    return AttemptResult{ ResultCode::kOk, 200, aTime, aTime, false };
  }

  static AttemptResult Failed(ResultCode aCode)
  {
    return AttemptResult{ aCode, 0, {}, Milliseconds(5), false };
  }

  GateScheduler::Ticket Submit(const std::string& aOrganisation,
                               Milliseconds aLeft = Seconds(10),
                               bool aIdempotent = false)
  {
    GateRequest request;
    request.organisation = aOrganisation;
    request.deadline = clock.Now() + aLeft;
    request.idempotent = aIdempotent;
    request.onDecision = [this, aOrganisation](ResultCode aCode) {
      if (aCode == ResultCode::kOk) {
        started.push_back(aOrganisation);
      } else {
        ++refused[aOrganisation][aCode];
      }
    };
    return gate.Submit(upstream, std::move(request));
  }

  /** Finishes the oldest running request. */
  void FinishOne(const AttemptResult& aResult = Good())
  {
    const std::string organisation = started.front();
    started.pop_front();
    ++finished[organisation];
    gate.Finish(upstream, aResult, organisation);
  }

  int Refused(const std::string& aOrganisation, ResultCode aCode)
  {
    return refused[aOrganisation][aCode];
  }

  const Address upstream{ 0x7F000001, 24001 };
  Announcement announcement{ "booking", upstream, "i1", UpstreamState::kReady, 7, 400, 0 };
  Clock clock;
  ConfigSource config;
  std::uint64_t revision = 0;
  GateScheduler gate{ clock, config, Address{ 0x7F000001, 24002 }, "fd0" };
  std::deque<std::string> started;
  std::map<std::string, int> finished;
  std::map<std::string, std::map<ResultCode, int>> refused;
};

} // namespace mustardwinch
