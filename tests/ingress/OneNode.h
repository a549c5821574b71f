#pragma once

#include "FreeAddress.h"

#include "config/ConfigSource.h"
#include "gate/GateScheduler.h"
#include "gate/GateServer.h"
#include "health/RetryPolicy.h"
#include "health/UpstreamPicker.h"
#include "ingress/ApiKey.h"
#include "ingress/CallerServer.h"
#include "ingress/Forwarder.h"
#include "limits/RateLimiter.h"
#include "link/PeerLinks.h"
#include "link/PeerStream.h"
#include "membership/UpstreamDirectory.h"

#include <curl/curl.h>
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mustardwinch::test {

inline const Address kLink = test::FreeAddress();
inline const Address kCallers = test::FreeAddress();
inline const Address kUpstreamOne = test::FreeAddress();
inline const Address kUpstreamTwo = test::FreeAddress();
constexpr int kCallerThreads = 16;
constexpr const char* kKey = "secret-key-of-acme";

struct CallerAnswer
{
  CURLcode curl = CURLE_OK;
  long status = 0;
  std::string body;
  std::string head;
};

/** The answer of the node to one caller's request. */
inline CallerAnswer Call(const std::string& aMethod,
                         const std::string& aTarget,
                         const std::vector<std::string>& aHeaders,
                         const std::string& aBody = {},
                         long aTimeoutMs = 30'000)
{
  CallerAnswer answer;
  CURL* easy = curl_easy_init();
  curl_slist* list = nullptr;
  for (const std::string& it : aHeaders) {
    list = curl_slist_append(list, it.c_str());
  }
  const auto append = +[](char* aData, size_t aSize, size_t aCount, void* aText) {
    static_cast<std::string*>(aText)->append(aData, aSize * aCount);
    return aSize * aCount;
  };
  curl_easy_setopt(easy, CURLOPT_URL, ("http://" + kCallers.ToString() + aTarget).c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, aMethod.c_str());
  curl_easy_setopt(easy, CURLOPT_NOBODY, aMethod == "HEAD" ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, aTimeoutMs);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, append);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer.head);
  if (!aBody.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, aBody.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
  }
  answer.curl = curl_easy_perform(easy);
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.status);
  curl_slist_free_all(list);
  curl_easy_cleanup(easy);
  return answer;
}

inline bool Says(const CallerAnswer& aAnswer, ResultCode aCode, const std::string& aOutcome)
{
  const std::string code = std::to_string(static_cast<int>(aCode));
  return aAnswer.head.find("X-Mustardwinch-Code: " + code + "\r\n") != std::string::npos &&
         aAnswer.head.find("X-Mustardwinch-Outcome: " + aOutcome + "\r\n") != std::string::npos;
}

/** Waits for something that other threads bring about. */
inline bool Eventually(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 1000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

/** One node's data path, with upstreams that the test defines. */
struct OneNode
{
  OneNode()
  {
    std::vector<Resource> resources;
    resources.push_back(Service{ "booking" });
    Route open;
    open.name = "open";
    open.pathPrefix = "/open";
    open.service = "booking";
    open.open = true;
    resources.push_back(open);
    Route keyed;
    keyed.name = "keyed";
    keyed.pathPrefix = "/keyed";
    keyed.service = "booking";
    resources.push_back(keyed);
    Organisation acme;
    acme.name = "acme";
    acme.keyHashes = { HashApiKey(kKey) };
    acme.ratePerSecond = 1000;
    acme.burst = 1000;
    resources.push_back(acme);
    config.Replace(std::make_shared<ConfigSnapshot>(1, resources));

    PeerLinks::Options options;
    options.listen = kLink;
    links = PeerLinks::Make(options);
    REQUIRE(links);
    links->OnStream([this](std::shared_ptr<PeerStream> aStream, const std::string& aHead) {
      gate.OnStream(std::move(aStream), aHead);
    });
    forwarder = std::make_unique<Forwarder>(Forwarder::Parts{ clock,
                                                              config,
                                                              picker,
                                                              retries,
                                                              limiter,
                                                              *links,
                                                              [] { return Freshness::kConfirmed; },
                                                              "vm" });
    callers = CallerServer::Make({ { kCallers }, kCallerThreads }, clock, *forwarder);
    REQUIRE(callers);
  }

  ~OneNode()
  {
    callers->Stop();
    gate.Join();
    links->Stop();
  }

  void Announce(const Address& aUpstream)
  {
    Announcement announcement;
    announcement.service = "booking";
    announcement.upstream = aUpstream;
    announcement.instance = "one";
    announcement.state = UpstreamState::kReady;
    announcement.slots = 7;
    announcement.connections = 400;
    scheduler.Announce(announcement);
    directory.ReplaceGate(kLink, scheduler.Records());
  }

  Clock clock;
  ConfigSource config;
  UpstreamDirectory directory;
  UpstreamPicker picker{ clock, directory, "domain-1", 1 };
  RetryPolicy retries{ clock };
  RateLimiter limiter;
  GateScheduler scheduler{ clock, config, kLink, "domain-1" };
  GateServer gate{ scheduler, 32 };
  std::unique_ptr<PeerLinks> links;
  std::unique_ptr<Forwarder> forwarder;
  std::unique_ptr<CallerServer> callers;
};

inline const std::string kKeyHeader = std::string("X-Api-Key: ") + kKey;

} // namespace mustardwinch::test
