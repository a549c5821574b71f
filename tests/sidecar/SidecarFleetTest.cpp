#include "sidecar/SidecarFleet.h"

using namespace mustardwinch;
using test::SidecarFleet;

TEST_CASE_FIXTURE(
  SidecarFleet,
  "Sidecar fleet, no faults, answers come from the upstream and headers from the node")
{
  const HttpAnswer answer = Call(0, "POST", "/unsafe/x?y=1");
  CHECK(answer.status == 200);
  CHECK(HeaderValue(answer.headers, "X-Response-Signature").starts_with("signed-i-"));
  CHECK(answer.body.starts_with("answer of i-"));
  REQUIRE(ReceivedRequests() == 1);
  for (const Member& it : members) {
    for (const HttpRequest& request : it.upstream->requests) {
      CHECK(request.target == "/unsafe/x?y=1");
      CHECK(HeaderValue(request.headers, "X-Caller-Service") == "booking");
      CHECK(HeaderValue(request.headers, "X-Tenant") == "org");
      CHECK(FindHeader(request.headers, "X-Api-Key") == nullptr);
      CHECK(std::stoi(std::string(HeaderValue(request.headers, "X-Request-Timeout-Ms"))) <= 1'000);
    }
  }
}

TEST_CASE_FIXTURE(SidecarFleet, "Sidecar fleet, no route or wrong key, refused and not run")
{
  CHECK(Call(0, "GET", "/other/x").status == 404);
  CHECK(Call(0, "GET", "/safe/x", "wrong").status == 401);
  CHECK(Call(0, "GET", "/safe/x", "").status == 401);
  CHECK(ReceivedRequests() == 0);
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, upstreams reset, an unsafe request runs once and may have run")
{
  for (Member& it : members) {
    it.upstream->reset = true;
  }
  CHECK(Call(0, "POST", "/unsafe/x").status == 502);
  CHECK(ReceivedRequests() == 1);
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, one upstream resets, safe requests are answered by others")
{
  members[0].upstream->reset = true;
  for (int i = 0; i < 20; ++i) {
    CHECK(Call(static_cast<std::size_t>(i % 3), "GET", "/safe/x").status == 200);
  }
  CHECK(members[0].upstream->requests.size() <= 4);
}

TEST_CASE_FIXTURE(
  SidecarFleet,
  "Sidecar fleet, upstreams fail in turn, one node's safe requests are all answered")
{
  // The node sees more failures than its share of the retry budget covers.
  for (Member& failing : members) {
    for (Member& it : members) {
      it.upstream->error = &it == &failing;
    }
    for (int i = 0; i < 6; ++i) {
      CHECK(Call(0, "GET", "/safe/x").status == 200);
    }
  }
}

TEST_CASE_FIXTURE(SidecarFleet, "Sidecar fleet, large bodies, reach all upstreams complete")
{
  std::string body(50'000, 'x');
  body.back() = 'y';
  for (std::size_t i = 0; i < 12; ++i) {
    CHECK(Call(i % members.size(), "POST", "/unsafe/x", "k-org", body).status == 200);
  }
  CHECK(ReceivedRequests() == 12); // most of them were sent to the upstreams of other nodes
  for (const Member& it : members) {
    for (const HttpRequest& request : it.upstream->requests) {
      CHECK(request.body == body);
    }
  }
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, one upstream hangs, a safe request is hedged in time")
{
  for (Member& it : members) {
    it.upstream->hang = it.upstream->instance != "i-2";
  }
  const auto begin = std::chrono::steady_clock::now();
  CHECK(Call(0, "GET", "/safe/x").status != 0);
  CHECK(std::chrono::steady_clock::now() - begin < Milliseconds(1'300));
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, upstreams shed, refused as not run with a Retry-After header")
{
  for (Member& it : members) {
    it.upstream->shed = true;
  }
  const HttpAnswer answer = Call(0, "POST", "/unsafe/x");
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After") != nullptr);
}

TEST_CASE_FIXTURE(SidecarFleet, "Sidecar fleet, answer to another request, is never forwarded")
{
  for (Member& it : members) {
    it.upstream->wrongId = true;
  }
  const HttpAnswer answer = Call(0, "POST", "/unsafe/x");
  CHECK(answer.status == 504);
  CHECK(FindHeader(answer.headers, "X-Response-Signature") == nullptr);
}

TEST_CASE_FIXTURE(
  SidecarFleet,
  "Sidecar fleet, upstream drains, receives no request once its announcement is acknowledged")
{
  CHECK(Announce(members[1], "draining") == 200);
  for (int i = 0; i < 20; ++i) {
    CHECK(Call(static_cast<std::size_t>(i % 3), "POST", "/unsafe/x").status == 200);
  }
  CHECK(members[1].upstream->requests.empty());
}

TEST_CASE_FIXTURE(
  SidecarFleet,
  "Sidecar fleet, node of a draining upstream restarts, still sends no request to it")
{
  CHECK(Announce(members[1], "draining") == 200);
  RunUntil([] { return false; }, Seconds(1));
  Kill(members[1]);
  Boot(members[1]);
  RunUntil([] { return false; }, Seconds(2));
  Announce(members[1], "ready"); // a delayed earlier announcement
  for (int i = 0; i < 10; ++i) {
    CHECK(Call(0, "POST", "/unsafe/x").status == 200);
  }
  CHECK(members[1].upstream->requests.empty());
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, failure domain evacuated, refused; evacuation removed, served")
{
  store.Put("evacuations", "a", nlohmann::json::object());
  REQUIRE(RunUntil([&] { return Call(0, "POST", "/unsafe/x").status == 503; }));
  const std::size_t runs = ReceivedRequests();
  CHECK(Call(1, "POST", "/unsafe/x").status == 503);
  CHECK(ReceivedRequests() == runs);
  store.Remove("evacuations", "a");
  CHECK(RunUntil([&] { return Call(0, "POST", "/unsafe/x").status == 200; }));
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, key revoked, rejected at all nodes and never valid again")
{
  config["version"] = "r9";
  config["tenants"][0]["apiKeys"] = { "k-new" };
  store.Put("config", "main", config);
  for (std::size_t i = 0; i < members.size(); ++i) {
    CHECK(RunUntil([&] { return Call(i, "GET", "/safe/x").status == 401; }, Seconds(3)));
  }
  config["version"] = "r8"; // an older version that arrives later changes nothing
  config["tenants"][0]["apiKeys"] = { "k-org" };
  store.Put("config", "main", config);
  RunUntil([] { return false; }, Seconds(1));
  CHECK(Call(0, "GET", "/safe/x").status == 401);
  CHECK(Call(0, "GET", "/safe/x", "k-new").status == 200);
}

TEST_CASE_FIXTURE(
  SidecarFleet,
  "Sidecar fleet, store unavailable, serves, and a restarted node gets its state from peers")
{
  store.SetFault(soak::StandinStore::Fault::kBusy);
  CHECK(Call(0, "GET", "/safe/x").status == 200);
  Kill(members[2]);
  Boot(members[2]);
  const Address readiness = members[2].settings.readiness;
  CHECK(RunUntil([&] { return Get(readiness, "/api/ready").status == 200; }, Seconds(5)));
  CHECK(Call(2, "GET", "/safe/x").status == 200);
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, all nodes lose power, an organisation within its rate is served")
{
  config["tenants"][0]["ratePerS"] = 30;
  config["tenants"][0]["burst"] = 30;
  config["version"] = "r4";
  store.Put("config", "main", config);
  for (Member& it : members) {
    Kill(it);
  }
  for (Member& it : members) {
    Boot(it);
  }
  for (Member& it : members) {
    REQUIRE(RunUntil([&] { return Get(it.settings.readiness, "/api/ready").status == 200; }));
    CHECK(Announce(it, "ready") == 200);
  }
  for (int i = 0; i < 20; ++i) { // about 20 per second
    CHECK(Call(0, "GET", "/safe/x").status == 200);
    RunUntil([] { return false; }, Milliseconds(45));
  }
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, planned stop, not ready at once and callers are still served")
{
  members[0].node->Stop();
  CHECK(Get(members[0].settings.readiness, "/api/ready").status == 503);
  members[0].upstream->requests.clear();
  const HttpAnswer answer = Call(0, "POST", "/unsafe/x");
  CHECK(answer.status == 200);
  CHECK(HeaderValue(answer.headers, "Connection") == "close");
  CHECK(members[0].upstream->requests.empty());
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, request late in a stop, refused as not run and not cut off")
{
  members[0].node->Stop();
  RunUntil([] { return false; }, Seconds(2));
  RunUntil([] { return false; }, Milliseconds(300));
  const std::size_t runs = ReceivedRequests();
  const HttpAnswer answer = Call(0, "POST", "/unsafe/x");
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After") != nullptr);
  CHECK(ReceivedRequests() == runs);
}

TEST_CASE_FIXTURE(SidecarFleet,
                  "Sidecar fleet, caller disconnects, its queued and safe requests are cancelled")
{
  for (Member& it : members) {
    it.upstream->hang = true;
  }
  auto channel = std::make_shared<HttpChannel>(loop);
  const HttpRequest request{
    "GET",
    "/safe/x",
    { { "Host", "shop.example" }, { "X-Request-Id", "gone" }, { "X-Api-Key", "k-org" } },
    ""
  };
  channel->Connect(members[0].settings.callers, [&](const boost::system::error_code& aError) {
    REQUIRE_FALSE(aError);
    channel->Exchange(FormatRequest(request, "h"), 1'000, false, nullptr, [](auto) {});
  });
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  channel->Close();
  const auto sessions = [&] {
    std::size_t n = 0;
    for (const Member& it : members) {
      n += it.upstream->listener.Busy();
    }
    return n;
  };
  CHECK(RunUntil([&] { return ReceivedRequests() == 1 && sessions() <= 1; }, Seconds(1)));
}

TEST_CASE_FIXTURE(SidecarFleet, "Sidecar fleet, metrics, counters and histograms by organisation")
{
  Call(0, "GET", "/safe/x");
  const HttpAnswer answer = Get(members[0].settings.metrics, "/metrics");
  CHECK(answer.status == 200);
  CHECK(answer.body.find("mw_request_seconds_count{organisation=\"org\"") != std::string::npos);
  CHECK(answer.body.find("mw_config_version 3") != std::string::npos);
}

TEST_CASE_FIXTURE(
  SidecarFleet,
  "Sidecar fleet, address of a VM reused by a node of another VM, the two are not confused")
{
  const auto live = [this] {
    const std::string text = Get(members[0].settings.metrics, "/").body;
    return text.substr(text.find("mw_members_live "), 17);
  };
  Kill(members[1]);
  store.SetFault(soak::StandinStore::Fault::kSilent); // no node learns that the first VM is gone
  Member next = MakeMember(9);
  next.settings.link = members[1].settings.link;
  next.settings.advertisedLink = next.settings.link;
  members.push_back(std::move(next));
  Boot(members.back());
  REQUIRE(RunUntil([&] { return live() == "mw_members_live 3"; }));
  RunUntil([] { return false; }, Seconds(2));
  CHECK(live() == "mw_members_live 3");
  store.SetFault(soak::StandinStore::Fault::kNone);
  CHECK(RunUntil([&] { return store.Count("fleet-members") == 3; }));
}

TEST_CASE_FIXTURE(
  SidecarFleet,
  "Sidecar fleet, node stops while upstreams hang, callers are answered before it ends")
{
  for (Member& it : members) {
    it.upstream->hang = true;
  }
  config["listeners"][0]["rules"][1]["action"]["timeoutMs"] = 20'000;
  config["version"] = "r4";
  store.Put("config", "main", config);
  RunUntil([] { return false; }, Seconds(1));
  std::optional<HttpAnswer> answer;
  const auto channel = std::make_shared<HttpChannel>(loop);
  const HttpRequest request{ "POST",
                             "/unsafe/x",
                             { { "Host", "shop.example" },
                               { "X-Request-Id", "q-long" },
                               { "X-Request-Timeout-Ms", "20000" },
                               { "X-Api-Key", "k-org" } },
                             "" };
  channel->Connect(members[0].settings.callers, [&](const boost::system::error_code&) {
    channel->Exchange(FormatRequest(request, "h"), 1 << 20, false, nullptr, [&](auto aResult) {
      answer = aResult.error ? HttpAnswer{} : aResult.answer;
    });
  });
  REQUIRE(RunUntil([&] { return ReceivedRequests() == 1; }));
  members[0].node->Stop();
  CHECK(RunUntil([&] { return members[0].loop->stopped(); }, Seconds(5)));
  REQUIRE(answer);
  CHECK(answer->status == 502);
}
