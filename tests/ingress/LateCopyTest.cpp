#include "CutUpstream.h"
#include "OneNode.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using namespace mustardwinch::test;

namespace {

const std::string kShed = "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\n";

std::string IdField(const std::string& aId)
{
  return aId.empty() ? "" : "X-Request-Id: " + aId + "\r\n";
}

std::string Success(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + IdField(aId) + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string Shed(const std::string& aId)
{
  return kShed + IdField(aId) + "Content-Length: 0\r\n\r\n";
}

CallerAnswer CallAs(const std::string& aId, const std::string& aMethod = "GET")
{
  return Call(aMethod, "/open", { "X-Request-Id: " + aId }, aMethod == "POST" ? "confirm" : "");
}

/** A node whose upstream gives aFirst, and aSecond for each later request. */
struct TwoAnswers : OneNode
{
  void Script(const std::string& aFirst, const std::string& aSecond)
  {
    upstream.AnswerOnceWhole(aFirst);
    upstream.Set(aSecond, false);
    Announce(kUpstreamOne);
  }

  CutUpstream upstream{ kUpstreamOne };
};

} // namespace

// Guards against the answer to one request being passed on as the answer to the next one.
TEST_CASE_FIXTURE(TwoAnswers, "Data path, late copy of another answer, is passed on to nobody")
{
  Script(Success("a", "of a"), Success("a", "of a") + Success("b", "of b"));
  CHECK(CallAs("a").body == "of a");
  CHECK(Says(CallAs("b"), ResultCode::kUpstreamFailed, "unknown"));
  CHECK(upstream.Requests() >= 2);
}

// Guards against "not run" of a request that runs: the rejection is that of an earlier one.
TEST_CASE_FIXTURE(TwoAnswers, "Data path, late copy of a shed request's answer, is told as unknown")
{
  Script(Shed("a"), Shed("a") + Success("b", "of b"));
  CHECK(Says(CallAs("a"), ResultCode::kGateShed, "not-run"));
  CHECK(Says(CallAs("b"), ResultCode::kUpstreamFailed, "unknown"));
}

TEST_CASE_FIXTURE(TwoAnswers,
                  "Data path, shed without an id on a kept connection, is told as unknown")
{
  Script(Success("", "of a"), Shed(""));
  CHECK(CallAs("a").body == "of a");
  CHECK(Says(CallAs("b"), ResultCode::kUpstreamFailed, "unknown"));
}

TEST_CASE_FIXTURE(TwoAnswers,
                  "Data path, shed with its id on a kept connection, is told as not run")
{
  Script(Success("a", "of a"), Shed("b"));
  CHECK(CallAs("a").body == "of a");
  CHECK(Says(CallAs("b"), ResultCode::kGateShed, "not-run"));
}

TEST_CASE_FIXTURE(TwoAnswers,
                  "Data path, shed without an id on a new connection, is told as not run")
{
  Script("", Shed(""));
  CHECK(Says(CallAs("a", "POST"), ResultCode::kGateShed, "not-run"));
}

// Guards against a rejection of another request that ends one which may run.
TEST_CASE_FIXTURE(TwoAnswers, "Data path, shed with two ids, is told as unknown")
{
  Script("", kShed + IdField("a") + IdField("b") + "Content-Length: 0\r\n\r\n");
  CHECK(Says(CallAs("a", "POST"), ResultCode::kUpstreamFailed, "unknown"));
}
