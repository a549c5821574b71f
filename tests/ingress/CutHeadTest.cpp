#include "CutUpstream.h"
#include "OneNode.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using namespace mustardwinch::test;

namespace {

struct CutCase
{
  std::string name;
  const char* method;
  std::string answer;
  std::size_t endBytes; //!< what ends before this is seen to be cut
};

const std::string kWithLength =
  "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\nX-C: d\r\n\r\nwhole";
const std::string kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\nX-T: t\r\n\r\n";
const std::string kNoLength = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nwhole";
const std::string kNoContent = "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n";
const std::string kHeadOnly = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-C: d\r\n\r\n";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nX-L: m\r\n\r\n";

/** Cut positions at which each answer is not whole. A body without a length ends with the
 * connection, so there the head alone can be seen to be cut. */
std::vector<CutCase> CutCases()
{
  const std::size_t noLengthHead = kNoLength.size() - 5;
  return { { "length", "POST", kWithLength, kWithLength.size() },
           { "length, idempotent", "GET", kWithLength, kWithLength.size() },
           // Without the last line feed nothing of the body or of a trailer is missing.
           { "chunked", "POST", kChunked, kChunked.size() - 1 },
           { "no length", "POST", kNoLength, noLengthHead },
           { "no content", "POST", kNoContent, kNoContent.size() },
           { "not modified", "GET", "HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n", 38 },
           { "HEAD", "HEAD", kHeadOnly, kHeadOnly.size() },
           { "interim", "POST", kInterim + kNoContent, kInterim.size() + kNoContent.size() } };
}

bool IsSuccess(const CallerAnswer& aAnswer)
{
  return aAnswer.curl == CURLE_OK && aAnswer.status >= 200 && aAnswer.status < 400;
}

CallerAnswer CallBy(const std::string& aMethod)
{
  return Call(aMethod, "/open", {}, aMethod == "POST" ? "confirm" : "");
}

} // namespace

// Guards against success with an empty body for an upstream that closes inside the head: libcurl
// ends such a transfer without an error.
TEST_CASE_FIXTURE(OneNode, "Data path, answer cut at any byte on a new connection, is no success")
{
  CutUpstream upstream(kUpstreamOne);
  Announce(kUpstreamOne);
  for (const CutCase& it : CutCases()) {
    Announce(kUpstreamOne); // an upstream that isn't heard for some seconds is gone
    for (const bool reset : { false, true }) {
      for (std::size_t n = 0; n < it.endBytes; ++n) {
        const int before = upstream.Requests();
        upstream.Set(it.answer.substr(0, n), reset);
        const CallerAnswer answer = CallBy(it.method);
        CAPTURE(it.name);
        CAPTURE(n);
        CAPTURE(reset);
        CAPTURE(answer.head);
        CHECK_FALSE(IsSuccess(answer));
        CHECK(upstream.Requests() > before);
      }
    }
  }
}

TEST_CASE_FIXTURE(OneNode, "Data path, answer cut at any byte on a kept connection, is no success")
{
  CutUpstream upstream(kUpstreamOne);
  Announce(kUpstreamOne);
  for (std::size_t n = 0; n < kWithLength.size(); ++n) {
    upstream.Set(kWithLength.substr(0, n), false);
    upstream.AnswerOnceWhole(kWithLength);
    CHECK(CallBy("GET").body == "whole");
    CAPTURE(n);
    CHECK_FALSE(IsSuccess(CallBy("GET")));
  }
}

// Guards against health evidence that counts an answer without a head as a success.
TEST_CASE_FIXTURE(OneNode, "Data path, head cut, the gate counts a failure")
{
  CutUpstream upstream(kUpstreamOne);
  Announce(kUpstreamOne);
  upstream.Set("HTTP/1.1 200 OK\r\nContent-Le", false);
  CHECK(Says(CallBy("POST"), ResultCode::kAnswerCut, "unknown"));
}

TEST_CASE_FIXTURE(OneNode, "Data path, switch of protocols that nobody asked for, is no success")
{
  CutUpstream upstream(kUpstreamOne);
  Announce(kUpstreamOne);
  upstream.Set("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody", false);
  CHECK_FALSE(IsSuccess(CallBy("POST")));
}

// Guards against a length that tells the caller's side another end of the body than the upstream's.
TEST_CASE_FIXTURE(OneNode,
                  "Data path, chunked answer with a length of another value, is told whole")
{
  CutUpstream upstream(kUpstreamOne);
  Announce(kUpstreamOne);
  for (const char* length : { "2", "9" }) {
    const std::string field = std::string("Content-Length: ") + length + "\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const std::string& fields : { field + chunked, chunked + field }) {
      CAPTURE(fields);
      upstream.Set("HTTP/1.1 200 OK\r\n" + fields + "\r\n5\r\nwhole\r\n0\r\n\r\n", false);
      const CallerAnswer answer = Call("POST", "/open", {}, "confirm", 2'000);
      CHECK(answer.curl == CURLE_OK);
      CHECK(answer.body == "whole");
    }
  }
}

TEST_CASE_FIXTURE(OneNode, "Data path, answer whose length is in doubt, is no success")
{
  CutUpstream upstream(kUpstreamOne);
  Announce(kUpstreamOne);
  for (const std::string fields : { "Content-Length: 5\r\nContent-Length: 2\r\n",
                                    "Content-Length: 2\r\nContent-Length: 5\r\n",
                                    "Content-Length: 5\r\nContent-Length: 2x\r\n",
                                    "Content-Length: 5, 2\r\n",
                                    "Content-Length: 5x\r\n",
                                    "Content-Length: -5\r\n",
                                    "Content-Length : 2\r\n",
                                    "Transfer-Encoding : chunked\r\n",
                                    "Content-Length: +5\r\n",
                                    "Content-Length:\r\n",
                                    "Content-Length: 99999999999999999999\r\n" }) {
    CAPTURE(fields);
    upstream.Set("HTTP/1.1 200 OK\r\n" + fields + "\r\nwhole", false);
    CHECK_FALSE(IsSuccess(Call("POST", "/open", {}, "confirm", 2'000)));
  }
}

// Guards against bytes that are no status of HTTP and reach a caller as an answer.
TEST_CASE_FIXTURE(OneNode,
                  "Data path, status that HTTP does not have, is told as a failure at once")
{
  CutUpstream upstream(kUpstreamOne);
  Announce(kUpstreamOne);
  for (const std::string status : { "000", "001", "099", "600", "999" }) {
    for (const std::string fields : { "Content-Length: 5\r\n", "" }) {
      Announce(kUpstreamOne);
      CAPTURE(status);
      CAPTURE(fields);
      upstream.Set("HTTP/1.1 " + status + " Odd\r\n" + fields + "\r\nwhole", false);
      const CallerAnswer answer = Call("POST", "/open", {}, "confirm", 2'000);
      CAPTURE(answer.head);
      CHECK(answer.curl == CURLE_OK);
      CHECK(answer.status == 502);
    }
  }
}
