#pragma once

#include "FreeAddress.h"
#include "http/HttpChannel.h"
#include "http/HttpText.h"
#include "platform/PlatformAdapter.h"
#include "sidecar/SidecarNode.h"
#include "sidecar/TestUpstream.h"
#include "soak/StandinStore.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mustardwinch::test {

/** Three nodes, each with an upstream, and a fake store, all on one thread. */
struct SidecarFleet
{
  struct Member
  {
    SidecarSettings settings;
    std::unique_ptr<TestUpstream> upstream;
    std::unique_ptr<boost::asio::io_context>
      loop; //!< event loop of the node, destroyed with it as a process would be
    std::unique_ptr<SidecarNode> node;
    std::uint64_t sequence = 0;
    std::string version = "v1";             //!< of the upstream
    std::optional<SidecarSettings> changed; //!< what the settings file holds since it was changed
  };

  static constexpr int kNodes = 3;

  explicit SidecarFleet(const RevocationSettings& aRevocation = {},
                        const RolloutSettings& aRollouts = {})
    : revocation(aRevocation)
    , rollouts(aRollouts)
  {
    REQUIRE(store.IsListening());
    store.Put("config", "main", config);
    for (int i = 0; i < kNodes; ++i) {
      members.push_back(MakeMember(i));
    }
    for (Member& it : members) {
      Boot(it);
    }
    for (Member& it : members) {
      REQUIRE(RunUntil([&] { return Get(it.settings.readiness, "/api/ready").status == 200; }));
      CHECK(Announce(it, "ready") == 200);
    }
    // All links are connected when every upstream has received a request sent to the first node.
    REQUIRE(RunUntil([&] {
      Call(0, "GET", "/safe/x");
      return std::all_of(members.begin(), members.end(), [](const Member& aMember) {
        return !aMember.upstream->requests.empty();
      });
    }));
    for (Member& it : members) {
      it.upstream->requests.clear();
    }
  }

  Member MakeMember(int aIndex)
  {
    Member member;
    const std::string number = std::to_string(aIndex);
    member.settings.vmName = "vm-" + number;
    member.settings.failureDomain = "a";
    member.settings.region = "r";
    member.settings.service = "booking";
    member.settings.stopGrace = Seconds(4);
    member.settings.link = FreeAddress();
    member.settings.advertisedLink = member.settings.link;
    member.settings.callers = FreeAddress();
    member.settings.readiness = FreeAddress();
    member.settings.control = FreeAddress();
    member.settings.metrics = FreeAddress();
    member.settings.platform = storeAddress;
    member.settings.revocation = revocation;
    member.settings.rollouts = rollouts;
    member.upstream = std::make_unique<TestUpstream>(loop, clock, "i-" + number);
    return member;
  }

  void Kill(Member& aMember)
  {
    aMember.node.reset();
    aMember.loop.reset();
  }

  void Boot(Member& aMember)
  {
    aMember.loop = std::make_unique<boost::asio::io_context>(1);
    aMember.node = std::make_unique<SidecarNode>(
      *aMember.loop,
      aMember.settings,
      platform::MakePlatformBinding(*aMember.loop, aMember.settings.platform),
      [&aMember] { return aMember.changed; });
    REQUIRE(aMember.node->Start());
  }

  bool RunUntil(const std::function<bool()>& aDone, Milliseconds aLimit = Seconds(8))
  {
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (!aDone()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      Step();
    }
    return true;
  }

  /** Runs the ready handlers of all nodes, upstreams and the store. */
  void Step()
  {
    std::size_t n = loop.poll();
    for (Member& it : members) {
      n += it.loop ? it.loop->poll() : 0;
    }
    if (n == 0) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }

  HttpAnswer Send(const Address& aTo, const HttpRequest& aRequest)
  {
    auto channel = std::make_shared<HttpChannel>(loop);
    std::optional<HttpAnswer> answer;
    channel->Connect(aTo, [&](const boost::system::error_code& aError) {
      if (aError) {
        answer = HttpAnswer{};
        return;
      }
      channel->Exchange(FormatRequest(aRequest, "h"), 1 << 20, false, nullptr, [&](auto aResult) {
        answer = aResult.error ? HttpAnswer{} : aResult.answer;
      });
    });
    const auto end = std::chrono::steady_clock::now() + Seconds(6);
    while (!answer && std::chrono::steady_clock::now() < end) {
      Step();
    }
    channel->Close();
    Step();
    return answer.value_or(HttpAnswer{});
  }

  HttpAnswer Get(const Address& aTo, const std::string& aTarget)
  {
    return Send(aTo, { "GET", aTarget, {}, "" });
  }

  unsigned Announce(Member& aMember, const std::string& aState)
  {
    const nlohmann::json body{
      { "address", aMember.upstream->address.ToString() },
      { "born", 1'000 },
      { "info",
        { { "service", "booking" },
          { "version", aMember.version },
          { "zone", "a" },
          { "slots", 4 } } },
      { "status", { { "state", aState }, { "seq", ++aMember.sequence }, { "warmupLeftMs", 0 } } },
    };
    const std::string target = "/api/instances/" + aMember.upstream->instance + "/heartbeat";
    return Send(aMember.settings.control, { "POST", target, {}, body.dump() }).status;
  }

  /** Sends a request of a caller to a node. */
  HttpAnswer Call(std::size_t aNode,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aKey = "k-org",
                  const std::string& aBody = "")
  {
    HttpRequest request{ aMethod,
                         aTarget,
                         { { "Host", "shop.example" },
                           { "X-Request-Id", "q-" + std::to_string(++calls) },
                           { "X-Request-Timeout-Ms", "2000" },
                           { "X-Caller-Service", "forged" },
                           { "X-Tenant", "forged" } },
                         aBody };
    if (!aKey.empty()) {
      request.headers.push_back({ "X-Api-Key", aKey });
    }
    return Send(members[aNode].settings.callers, request);
  }

  std::size_t ReceivedRequests() const
  {
    std::size_t n = 0;
    for (const Member& it : members) {
      n += it.upstream->requests.size();
    }
    return n;
  }

  const RevocationSettings revocation;
  const RolloutSettings rollouts;
  boost::asio::io_context loop{ 1 };
  Clock clock;
  const Address storeAddress = FreeAddress();
  soak::StandinStore store{ loop, clock, storeAddress };
  nlohmann::json config = nlohmann::json::parse(R"({
    "version": "r3", "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1000000,
    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "org", "apiKeys": ["k-org"], "priority": 1, "ratePerS": 1000, "burst": 1000}],
    "listeners": [{"host": "shop.example", "rules": [
      {"name": "safe", "kind": "safe", "targetLatencyMs": 400, "match": {"pathPrefix": "/safe/"},
       "action": {"service": "booking", "timeoutMs": 1000, "maxAttempts": 2}},
      {"name": "unsafe", "kind": "unsafe", "targetLatencyMs": 400, "match": {"pathPrefix": "/unsafe/"},
       "action": {"service": "booking", "timeoutMs": 1000, "maxAttempts": 2}}]}],
    "clusters": [{"name": "booking", "healthPath": "/h", "maxConnections": 100, "warmupPerS": 0}]
  })");
  std::vector<Member> members;
  int calls = 0;
};

} // namespace mustardwinch::test
