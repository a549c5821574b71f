#include "membership/FleetAgent.h"

#include "mustardwinch/ResultCode.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

using namespace mustardwinch;

namespace {

constexpr std::uint16_t kFirstPort = 22100;

Result<Resource> ParseOrganisation(const std::string& aKind,
                                   const std::string& aName,
                                   const nlohmann::json& aSpec)
{
  if (aKind != "organisation") {
    return ResultCode::kResourceUnknownKind;
  }
  Organisation organisation;
  organisation.name = aName;
  organisation.burst = aSpec.value("burst", 1U);
  return Resource(organisation);
}

/** Polls in real time because the test uses real sockets. */
bool Await(const std::function<bool()>& aDone)
{
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!aDone()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

/** A fleet agent and its dependencies on loopback sockets. */
struct AgentNode
{
  AgentNode(std::uint16_t aNumber, PlatformReader aReader)
    : links(PeerLinks::Make({ Self(aNumber).link }))
  {
    REQUIRE(links);
    FleetAgent::Options options;
    options.self = Self(aNumber);
    options.seeds = { Self(0).link };
    options.kinds = { "organisation" };
    agent = FleetAgent::Make(
      options, { clock, *links, config, directory }, std::move(aReader), ParseOrganisation, [this] {
        std::vector<UpstreamRecord> owned(1);
        owned.front().service = "booking";
        owned.front().upstream = { 0x7F000001, 9 };
        owned.front().slots = slots;
        return owned;
      });
    REQUIRE(agent);
    agent->Start();
  }

  ~AgentNode()
  {
    agent->Stop();
    links->Stop();
  }

  static VmIdentity Self(std::uint16_t aNumber)
  {
    const auto port = static_cast<std::uint16_t>(kFirstPort + aNumber);
    return { "vm-" + std::to_string(aNumber), "fd-1", "north", { 0x7F000001, port }, 100 };
  }

  Clock clock;
  std::unique_ptr<PeerLinks> links;
  ConfigSource config;
  UpstreamDirectory directory;
  std::atomic<std::uint32_t> slots{ 7 };
  std::unique_ptr<FleetAgent> agent;
};

/** A platform with one organisation that never changes. */
PlatformReader OneOrganisation()
{
  PlatformObject object;
  object.kind = "organisation";
  object.name = "rossi";
  object.version = 1;
  object.specVersion = 1;
  object.spec = { { "burst", 5 } };
  return { [object](const auto&) -> Result<PlatformChanges> {
            return PlatformChanges{ 1, { object } };
          },
           [](const auto&, std::uint64_t, Milliseconds aWait) -> Result<PlatformChanges> {
             std::this_thread::sleep_for(aWait);
             return PlatformChanges{ 1, {} };
           } };
}

} // namespace

TEST_CASE("FleetAgent, three on loopback, share members, configuration and upstreams")
{
  AgentNode first(0, OneOrganisation());
  AgentNode second(1, OneOrganisation());
  auto third = std::make_unique<AgentNode>(2, OneOrganisation());
  const std::vector<AgentNode*> all{ &first, &second, third.get() };
  for (AgentNode* it : all) {
    CHECK(Await([&] { return it->agent->LiveMembers().size() == 3; }));
    CHECK(Await([&] { return it->config.Current()->FindOrganisation("rossi") != nullptr; }));
    CHECK(Await([&] { return it->directory.Of("booking")->size() == 3; }));
    CHECK(Await([&] { return it->agent->Current() == Freshness::kConfirmed; }));
  }
  CHECK(Await([&] { return first.agent->InForce().inForce == 3; }));

  third->agent->Leave();
  third.reset();
  CHECK(Await([&] { return first.directory.Of("booking")->size() == 2; }));
  CHECK(first.agent->LiveMembers().size() == 2);
}
