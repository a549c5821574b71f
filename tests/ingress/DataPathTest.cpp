#include "OneNode.h"
#include "RawUpstream.h"
#include "TestUpstream.h"

#include <curl/curl.h>
#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <thread>

using namespace mustardwinch;
using namespace mustardwinch::test;

TEST_CASE_FIXTURE(OneNode,
                  "Data path, keyed request with its key, is answered without the key passed on")
{
  TestUpstream upstream(kUpstreamOne, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::Answer(aConnection, "hello");
  });
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("GET",
                                   "/keyed/a?b=c",
                                   { std::string("x-aPI-key: ") + kKey,
                                     std::string("Authorization: Bearer ") + kKey,
                                     std::string("X-Copy: <") + kKey + ">",
                                     "X-Organisation: other",
                                     "X-Kept: yes" });
  CHECK(answer.status == 200);
  CHECK(answer.body == "hello");
  CHECK(answer.head.find("X-From: test") != std::string::npos);
  const std::string seen = upstream.Seen();
  CHECK(seen.find(kKey) == std::string::npos);
  CHECK(seen.find("X-Organisation: acme") != std::string::npos);
  CHECK(seen.find("X-Organisation: other") == std::string::npos);
  CHECK(seen.find("X-Kept: yes") != std::string::npos);
  CHECK(seen.find("b=c") != std::string::npos);
}

TEST_CASE_FIXTURE(OneNode, "Data path, requests that must not run, are refused as not run")
{
  TestUpstream upstream(kUpstreamOne, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::Answer(aConnection, "hello");
  });
  Announce(kUpstreamOne);
  const std::string keyInQuery = std::string("/keyed?k=") + kKey;
  CHECK(Says(Call("GET", "/keyed", {}), ResultCode::kKeyMissing, "not-run"));
  CHECK(Says(Call("GET", "/keyed", { "X-Api-Key: x" }), ResultCode::kKeyUnknown, "not-run"));
  CHECK(Says(Call("GET", "/nowhere", {}), ResultCode::kNoRoute, "not-run"));
  CHECK(Says(Call("GET", "/opening", {}), ResultCode::kNoRoute, "not-run"));
  CHECK(Says(Call("GET", "/open/../keyed", {}), ResultCode::kBadRequest, "not-run"));
  CHECK(Says(Call("GET", "/open/%2e%2e/keyed", {}), ResultCode::kBadRequest, "not-run"));
  CHECK(Says(Call("GET", keyInQuery, { kKeyHeader }), ResultCode::kBadRequest, "not-run"));
  CHECK(Says(Call("GET", "/open", { "X-Deadline-Ms: soon" }), ResultCode::kBadRequest, "not-run"));
  CHECK(upstream.Requests() == 0);
}

TEST_CASE_FIXTURE(OneNode, "Data path, upstream that claims a node's outcome, is not believed")
{
  TestUpstream upstream(kUpstreamOne, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::ReadAll(aConnection);
    mg_printf(aConnection,
              "HTTP/1.1 503 No\r\nContent-Length: 0\r\nX-Mustardwinch-Outcome: not-run\r\n\r\n");
  });
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("POST", "/open", {}, "confirm");
  CHECK(answer.status == 503);
  CHECK(answer.head.find("X-Mustardwinch") == std::string::npos);
}

TEST_CASE_FIXTURE(OneNode, "Data path, body of 8 MB both ways, comes back the same")
{
  TestUpstream upstream(kUpstreamOne, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::Answer(aConnection, TestUpstream::ReadAll(aConnection));
  });
  Announce(kUpstreamOne);
  std::string body;
  for (std::size_t i = 0; body.size() < 8'000'000; ++i) {
    body += std::to_string(i * 2654435761U) + ",";
  }
  for (const char* method : { "POST", "PUT" }) {
    const CallerAnswer answer = Call(method, "/open/echo", {}, body);
    CHECK(answer.curl == CURLE_OK);
    CHECK(answer.status == 200);
    CHECK(answer.body == body);
  }
  const CallerAnswer chunked =
    Call("POST", "/open/echo", { "Transfer-Encoding: chunked", "Content-Length:" }, body);
  CHECK(chunked.body == body);
}

TEST_CASE_FIXTURE(
  OneNode,
  "Data path, short answer cut by one upstream, is retried on another if idempotent")
{
  TestUpstream bad(kUpstreamOne, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::ReadAll(aConnection);
    TestUpstream::AnswerHalf(aConnection, "half");
  });
  TestUpstream good(kUpstreamTwo, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::ReadAll(aConnection);
    TestUpstream::Answer(aConnection, "whole");
  });
  Announce(kUpstreamOne);
  Announce(kUpstreamTwo);
  for (int i = 0; i < 8; ++i) {
    const CallerAnswer answer = Call("GET", "/open", {});
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
  }
}

TEST_CASE_FIXTURE(OneNode, "Data path, answer to a POST cut, is told as unknown and not run again")
{
  TestUpstream upstream(kUpstreamOne, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::ReadAll(aConnection);
    TestUpstream::AnswerHalf(aConnection, "half");
  });
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("POST", "/open", {}, "confirm");
  CHECK(Says(answer, ResultCode::kAnswerCut, "unknown"));
  CHECK(upstream.Requests() == 1);
}

TEST_CASE_FIXTURE(OneNode, "Data path, POST on a connection that closes without answer, runs once")
{
  // libcurl itself would send the request again on a used connection.
  std::atomic<bool> drop{ false };
  TestUpstream upstream(kUpstreamOne, [&](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::ReadAll(aConnection);
    if (drop) {
      mg_disable_connection_keep_alive(aConnection);
      return;
    }
    TestUpstream::Answer(aConnection, "hello");
  });
  Announce(kUpstreamOne);
  CHECK(Call("GET", "/open", {}).status == 200);
  CHECK(Call("POST", "/open", {}, "first").status == 200);
  drop = true;
  const int before = upstream.Requests();
  CHECK(Says(Call("POST", "/open", {}, "confirm"), ResultCode::kUpstreamFailed, "unknown"));
  CHECK(upstream.Requests() == before + 1);
}

TEST_CASE("libcurl alone, POST on a used connection that closes without answer, runs twice")
{
  // Without the mechanism of UpstreamCall: a new connection for each request not idempotent.
  std::atomic<int> confirms{ 0 };
  TestUpstream upstream(kUpstreamOne,
                        [&](mg_connection* aConnection, const mg_request_info* aInfo) {
                          TestUpstream::ReadAll(aConnection);
                          if (std::string_view(aInfo->request_method) == "POST") {
                            ++confirms;
                            mg_disable_connection_keep_alive(aConnection);
                            return;
                          }
                          TestUpstream::Answer(aConnection, "hello");
                        });
  CURL* easy = curl_easy_init();
  const std::string url = "http://" + kUpstreamOne.ToString() + "/open";
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(
    easy, CURLOPT_WRITEFUNCTION, +[](char*, size_t aSize, size_t aCount, void*) {
      return aSize * aCount;
    });
  CHECK(curl_easy_perform(easy) == CURLE_OK);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "confirm");
  CHECK(curl_easy_perform(easy) == CURLE_GOT_NOTHING);
  CHECK(confirms == 2);
  curl_easy_cleanup(easy);
}

TEST_CASE_FIXTURE(OneNode, "Data path, large answer cut, is visible to the caller as a cut")
{
  const std::string half(1'000'000, 'x');
  TestUpstream upstream(kUpstreamOne, [&](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::AnswerHalf(aConnection, half);
  });
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("GET", "/open", {});
  CHECK(answer.status == 200);
  CHECK(answer.curl == CURLE_PARTIAL_FILE);
}

// Guards against passing on a truncated answer as whole: what ends it is a reset while the request
// is still being sent.
TEST_CASE_FIXTURE(OneNode,
                  "Data path, answer without a length reset during an upload, is not complete")
{
  const std::string half(2'500, 'w');
  test::RawUpstream upstream(kUpstreamOne, "HTTP/1.1 200 OK\r\n\r\n" + half);
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("POST", "/open", {}, std::string(16U << 20, 'x'));
  CHECK((answer.curl != CURLE_OK || answer.status != 200));
}

// Guards against passing on a part of an answer as whole: the upstream ends its direction, and then
// resets the connection while the upload is still being sent.
TEST_CASE_FIXTURE(
  OneNode,
  "Data path, answer without a length ended and reset during an upload, is not complete")
{
  const std::string half(2'500, 'w');
  test::RawUpstream upstream(kUpstreamOne, "HTTP/1.1 200 OK\r\n\r\n" + half, true);
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("POST", "/open", {}, std::string(16U << 20, 'x'));
  CHECK((answer.curl != CURLE_OK || answer.status != 200));
}

TEST_CASE_FIXTURE(OneNode, "Data path, answer without a length reset, is not complete")
{
  const std::string half(2'500, 'w');
  test::RawUpstream upstream(kUpstreamOne, "HTTP/1.1 200 OK\r\n\r\n" + half);
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("POST", "/open", {}, "small");
  CHECK((answer.curl != CURLE_OK || answer.status != 200));
}

TEST_CASE_FIXTURE(OneNode, "Data path, no process at the upstream's address, is told as not run")
{
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("POST", "/open", {}, "confirm");
  CHECK(answer.status == 503);
  CHECK(Says(answer, ResultCode::kGateConnectFailed, "not-run"));
}

// Guards against telling a caller "not run" by the last attempt alone.
TEST_CASE_FIXTURE(OneNode, "Data path, one attempt lost and the next one shed, is told as unknown")
{
  std::atomic<int> attempts{ 0 };
  const auto answer = [&](mg_connection* aConnection, const mg_request_info*) {
    if (++attempts == 1) {
      mg_disable_connection_keep_alive(aConnection); // it ran, and its answer is lost
      return;
    }
    mg_printf(aConnection,
              "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n");
  };
  TestUpstream one(kUpstreamOne, answer);
  TestUpstream two(kUpstreamTwo, answer);
  Announce(kUpstreamOne);
  Announce(kUpstreamTwo);
  CHECK(Says(Call("GET", "/open", {}), ResultCode::kUpstreamFailed, "unknown"));
  CHECK(attempts >= 2);
}

// Guards against forgetting a request that was sent on a kept connection once no new one can be
// had.
TEST_CASE_FIXTURE(OneNode,
                  "Data path, kept connection closes after the request and no other can be had, is "
                  "told as unknown")
{
  test::KeptConnectionUpstream upstream(kUpstreamOne,
                                        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
  Announce(kUpstreamOne);
  CHECK(Call("GET", "/open", {}).status == 200);
  CHECK(Says(Call("GET", "/open", {}), ResultCode::kUpstreamFailed, "unknown"));
  CHECK(upstream.Requests() == 2);
}

TEST_CASE_FIXTURE(OneNode,
                  "Data path, gate that cannot be reached, is told as not run and as a failed path")
{
  UpstreamRecord record;
  record.service = "booking";
  record.upstream = kUpstreamOne;
  record.gate = *Address::Parse("127.0.0.1:9");
  record.failureDomain = "domain-1";
  record.slots = 7;
  record.state = UpstreamState::kReady;
  directory.ReplaceGate(record.gate, { record });
  for (int i = 0; i < 8; ++i) {
    CHECK(Says(Call("POST", "/open", {}, "confirm"), ResultCode::kGateConnectFailed, "not-run"));
  }
  // A path is no evidence against the upstream behind it.
  for (const auto& [gate, evidence] : picker.TakeEvidence()) {
    CHECK(evidence.failures == 0);
  }
}

TEST_CASE_FIXTURE(OneNode,
                  "Data path, upstream past the deadline, is told as unknown within the bound")
{
  TestUpstream upstream(kUpstreamOne, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::ReadAll(aConnection);
    std::this_thread::sleep_for(Seconds(3));
    TestUpstream::Answer(aConnection, "late");
  });
  Announce(kUpstreamOne);
  const CallerAnswer answer = Call("POST", "/open", { "X-Deadline-Ms: 300" }, "confirm");
  CHECK(Says(answer, ResultCode::kDeadlineAfterSend, "unknown"));
}

TEST_CASE_FIXTURE(OneNode, "Data path, caller that goes away, frees the slot of its request")
{
  std::atomic<bool> release{ false };
  TestUpstream upstream(kUpstreamOne, [&](mg_connection* aConnection, const mg_request_info*) {
    Eventually([&] { return release.load(); });
    TestUpstream::Answer(aConnection, "late");
  });
  Announce(kUpstreamOne);
  CHECK(Call("GET", "/open", {}, {}, 300).curl == CURLE_OPERATION_TIMEDOUT);
  CHECK(Eventually([&] { return scheduler.Running() == 0; }));
  release = true;
}

TEST_CASE_FIXTURE(OneNode, "Data path, more idle callers than threads, do not stop service")
{
  TestUpstream upstream(kUpstreamOne, [](mg_connection* aConnection, const mg_request_info*) {
    TestUpstream::Answer(aConnection, "hello");
  });
  Announce(kUpstreamOne);
  std::vector<int> idle;
  for (int i = 0; i < 3 * kCallerThreads; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kCallers.port);
    address.sin_addr.s_addr = htonl(kCallers.ip);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    idle.push_back(fd);
  }
  CHECK(Call("GET", "/open", {}, {}, 10'000).status == 200);
  for (int it : idle) {
    close(it);
  }
}
