#include "limits/RateAgent.h"
#include "FakeLeases.h"
#include "history/RateHistoryCheck.h"
#include "mustardwinch/Event.h"

#include <doctest/doctest.h>

#include <mutex>
#include <thread>

using namespace mustardwinch;

namespace {

/** Two agents with threads and the real clock; messages are delivered synchronously. */
struct TwoAgents
{
  Clock clock;
  ConfigSource config;
  FakeLeases leases;
  std::mutex leasesMutex;
  Organisation organisation{ "verge", {}, 200, 40 };
  std::vector<VmIdentity> members;
  std::vector<std::unique_ptr<RateAgent>> agents;

  TwoAgents()
  {
    InitLogging("test", "error");
    config.Replace(std::make_shared<ConfigSnapshot>(1, std::vector<Resource>{ organisation }));
    for (std::uint16_t i = 0; i < 2; ++i) {
      members.push_back({ "vm" + std::to_string(i),
                          "fd" + std::to_string(i),
                          "",
                          { 1, static_cast<std::uint16_t>(i + 1) },
                          1 });
    }
    for (const VmIdentity& it : members) {
      RateAgentOptions options;
      options.self = it;
      options.layout = { 2, 2 };
      agents.push_back(RateAgent::Make(
        clock,
        config,
        options,
        LockedStore(),
        [this](const Address& aTo,
               PeerMessage,
               const std::string& aPayload,
               Milliseconds,
               const RateAgent::ReplyFn& aReply) {
          agents[aTo.port - 1]->Handle(aPayload, aReply);
        },
        [this] { return members; }));
    }
  }

  LeaseStore LockedStore()
  {
    const LeaseStore plain = leases.StoreFor([] { return true; });
    LeaseStore locked = plain;
    locked.read = [this, plain](const std::string& aName) {
      const std::lock_guard lock(leasesMutex);
      return plain.read(aName);
    };
    locked.write = [this, plain](const std::string& aName, const LeaseWrite& aWrite) {
      const std::lock_guard lock(leasesMutex);
      return plain.write(aName, aWrite);
    };
    locked.agreeLayout = [this, plain](const RateLayout& aProposed) {
      const std::lock_guard lock(leasesMutex);
      return plain.agreeLayout(aProposed);
    };
    return locked;
  }
};

} // namespace

TEST_CASE_FIXTURE(TwoAgents,
                  "RateAgent, many threads on two nodes, admits no more than rate and burst")
{
  for (const auto& it : agents) {
    it->Start();
  }
  std::mutex mutex;
  std::vector<TimePoint> admitted;
  std::vector<std::thread> callers;
  const TimePoint begin = clock.Now();
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      while (clock.Now() < begin + Milliseconds(1500)) {
        const auto decision =
          agents[i % 2]->Limiter().Admit(organisation, clock.Now() + Milliseconds(500));
        if (decision.code == ResultCode::kOk) {
          const std::lock_guard lock(mutex);
          admitted.push_back(clock.Now());
        } else {
          std::this_thread::sleep_for(Milliseconds(1));
        }
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  agents[0]->Release(clock.Now() + Seconds(1));
  for (const auto& it : agents) {
    it->Stop();
  }
  // The recorded time is a little after the admission, hence 4 extra tokens.
  CHECK_FALSE(RateHistoryCheck({ { begin, 200, 40 + 4 } }).Check(admitted));
  CHECK(admitted.size() > 200);
}

TEST_CASE_FIXTURE(TwoAgents, "RateAgent, malformed message, replies with an error")
{
  ResultCode code = ResultCode::kOk;
  agents[0]->Handle("garbage", [&](const Result<std::string>& aReply) {
    code = ResultCodeFromNumber(static_cast<std::uint32_t>(aReply.Error().code.value()));
  });
  CHECK(code == ResultCode::kRateBadMessage);
}

TEST_CASE_FIXTURE(TwoAgents, "RateAgent, layout that differs from the fleet's, owns no slices")
{
  (void)LockedStore().agreeLayout({ 8, 2 });
  agents[0]->Step();
  CHECK_FALSE(agents[0]->Status().layoutAgreed);
  CHECK(agents[0]->Status().slices.empty());
}

TEST_CASE_FIXTURE(TwoAgents, "RateAgent, no owner within the deadline, refuses as unconfirmed")
{
  leases.unavailable = true;
  clock.Pause();
  agents[0]->Step();
  const auto decision = agents[0]->Limiter().Admit(organisation, clock.Now());
  CHECK(decision.code == ResultCode::kRateUnconfirmed);
}

TEST_CASE("RateAgent, invalid options, is not created")
{
  const Clock clock;
  const ConfigSource config;
  RateAgentOptions options;
  options.self.link = { 1, 1 };
  options.terms.shortTerm = options.terms.grantLifetime;
  CHECK_FALSE(RateAgent::Make(clock, config, options, {}, {}, {}));
  options.terms = {};
  for (unsigned eighths : { 0U, 9U }) {
    options.terms.tailEighths = eighths;
    CHECK_FALSE(RateAgent::Make(clock, config, options, {}, {}, {}));
  }
}
