#pragma once

#include "FreeAddress.h"
#include "http/HttpListener.h"
#include "http/HttpText.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mustardwinch::test {

/** A fake upstream that follows the platform's documentation, with faults that tests switch on. */
struct TestUpstream
{
  TestUpstream(boost::asio::io_context& aLoop, Clock& aClock, std::string aInstance)
    : instance(std::move(aInstance))
    , address(FreeAddress())
    , listener(aLoop, aClock, [this](const auto& aSession, const HttpRequest& aRequest) {
      Handle(aSession, aRequest);
    })
  {
    REQUIRE(listener.Listen(address));
  }

  void Handle(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest)
  {
    if (aRequest.target == "/h") {
      ++healthRequests;
      aSession->Answer(
        { 200, { { "X-Instance-Id", instance }, { "X-Warmup-Ms", std::to_string(coldMs) } }, "" });
      return;
    }
    const std::string id(HeaderValue(aRequest.headers, "X-Request-Id"));
    if (HeaderValue(aRequest.headers, "X-Expected-Instance") != instance) {
      aSession->Answer({ 421, { { "X-Request-Id", id }, { "X-Instance-Id", instance } }, "" });
      return;
    }
    requests.push_back(aRequest);
    if (reset) {
      aSession->Detach();
      return;
    }
    if (hang) {
      held.push_back(aSession);
      return;
    }
    Answer(aSession, wrongId ? "another" : id);
  }

  /** Answers the oldest held request. */
  void AnswerHeld()
  {
    Answer(held.front(), std::string(HeaderValue(requests.front().headers, "X-Request-Id")));
    held.erase(held.begin());
  }

  void Answer(const std::shared_ptr<HttpSession>& aSession, const std::string& aId) const
  {
    HttpHeaders headers{ { "X-Request-Id", aId } };
    if (shed) {
      headers.push_back({ "X-Not-Executed", "1" });
      aSession->Answer({ 503, headers, "" });
      return;
    }
    headers.push_back({ "X-Response-Signature", "signed-" + instance });
    if (ranStatus != 0) {
      aSession->Answer({ ranStatus, headers, "" });
      return;
    }
    const std::string body = largeAnswer        ? std::string(kLargeAnswerBytes, 'l')
                             : answerBytes != 0 ? std::string(answerBytes, 'a')
                                                : "answer of " + instance;
    aSession->Answer({ error ? 500U : 200U, headers, body });
  }

  std::string instance;
  Address address;
  HttpListener listener;
  std::vector<HttpRequest> requests; //!< requests that the upstream started to process
  std::vector<std::shared_ptr<HttpSession>> held;
  int healthRequests = 0;
  int coldMs = 0; //!< as its health path tells
  bool reset = false;
  bool hang = false;
  bool shed = false;
  bool error = false;
  bool wrongId = false;
  bool largeAnswer = false;
  std::size_t answerBytes = 0; //!< of the body; 0: a short text
  unsigned ranStatus = 0;      //!< status of the answer to a request that was run; 0: 200

  static constexpr std::size_t kLargeAnswerBytes = 12U << 20; //!< more than the kernel's buffers
};

} // namespace mustardwinch::test
