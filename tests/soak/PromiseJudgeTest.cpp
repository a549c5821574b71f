#include "soak/PromiseJudge.h"

#include "platform/PlatformNames.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using namespace mustardwinch::soak;

namespace {

/** A judge that has seen one good request under way; each test breaks one promise. */
struct JudgeFixture
{
  JudgeFixture()
  {
    request.id = "q1";
    request.service = "booking";
    request.organisation = "north";
    request.key = "key-north";
    run.id = "q1";
    run.instance = "i-1";
    run.node = 1;
    run.service = "booking";
    run.failureDomain = "a";
    run.organisation = "north";
    judge.OnSent(request, now);
  }

  HttpAnswer Success(const std::string& aId) const
  {
    const HttpNames names = platform::MakeHttpNames();
    return { 200,
             { { names.requestId, aId }, { names.signature, SignatureFor(aId, "i-1") } },
             BodyFor(aId) };
  }

  /** A further request of the same kind. */
  void SendAndRun(const std::string& aId)
  {
    request.id = aId;
    run.id = aId;
    judge.OnSent(request, now);
    judge.OnRun(run, now);
  }

  /** Whether the one violation so far is of this promise. */
  bool IsBroken(const std::string& aPromise) const
  {
    const auto& found = judge.Violations();
    return found.size() == 1 && found.front().starts_with(aPromise + " at ");
  }

  PromiseJudge judge;
  SoakRequest request;
  SoakRunBegin run;
  TimePoint now{ Seconds(100) };
};

} // namespace

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, own whole answer, nothing is broken")
{
  judge.OnRun(run, now);
  judge.OnAnswer("q1", Success("q1"), now);
  CHECK(judge.Violations().empty());
  CHECK(judge.Runs() == 1);
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, answer is short, foreign or unsigned, is broken")
{
  judge.OnRun(run, now);
  HttpAnswer answer = Success("q1");
  SUBCASE("short")
  {
    answer.body.pop_back();
  }
  SUBCASE("empty")
  {
    answer.body.clear();
  }
  SUBCASE("with bytes of another answer after it")
  {
    answer.body += "HTTP/1.1 503";
  }
  SUBCASE("with the body of another request")
  {
    answer.body = BodyFor("q2");
  }
  SUBCASE("with the signature of another request")
  {
    answer.headers[1].value = SignatureFor("q2", "i-1");
  }
  SUBCASE("signed by an upstream that did not run it")
  {
    answer.headers[1].value = SignatureFor("q1", "i-2");
  }
  SUBCASE("unsigned")
  {
    answer.headers.pop_back();
  }
  judge.OnAnswer("q1", answer, now);
  CHECK(IsBroken("whole answer"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, answer of another request, is broken")
{
  judge.OnRun(run, now);
  HttpAnswer answer = Success("q1");
  answer.headers[0].value = "q2";
  judge.OnAnswer("q1", answer, now);
  CHECK(IsBroken("own answer"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, second run of what must not repeat, is broken")
{
  judge.OnRun(run, now);
  judge.OnRun(run, now);
  CHECK(IsBroken("at most once"));
}

TEST_CASE_FIXTURE(JudgeFixture,
                  "PromiseJudge, refused as not run, before or after it ran, is broken")
{
  SUBCASE("before")
  {
    judge.OnRun(run, now);
    judge.OnAnswer("q1", MakeTextAnswer(503, ""), now);
  }
  SUBCASE("after")
  {
    judge.OnAnswer("q1", MakeTextAnswer(429, ""), now);
    judge.OnRun(run, now);
  }
  CHECK(IsBroken("not run"));
}

TEST_CASE_FIXTURE(
  JudgeFixture,
  "PromiseJudge, each status that promises not run, ran before or runs later, broken")
{
  unsigned status = 0;
  SUBCASE("408")
  {
    status = 408;
  }
  SUBCASE("421")
  {
    status = 421;
  }
  SUBCASE("429")
  {
    status = 429;
  }
  SUBCASE("503")
  {
    status = 503;
  }
  for (const bool ranBefore : { true, false }) {
    PromiseJudge fresh;
    fresh.OnSent(request, now);
    if (ranBefore) {
      fresh.OnRun(run, now);
    }
    fresh.OnAnswer("q1", MakeTextAnswer(status, ""), now + Milliseconds(5));
    if (!ranBefore) {
      CHECK(fresh.Violations().empty());
      fresh.OnRun(run, now + Milliseconds(50));
    }
    REQUIRE(fresh.Violations().size() == 1);
    CHECK(fresh.Violations().front().starts_with("not run at "));
  }
}

TEST_CASE_FIXTURE(JudgeFixture,
                  "PromiseJudge, status that promises nothing after a run, nothing is broken")
{
  judge.OnRun(run, now);
  SUBCASE("502")
  {
    judge.OnAnswer("q1", MakeTextAnswer(502, ""), now);
  }
  SUBCASE("504")
  {
    judge.OnAnswer("q1", MakeTextAnswer(504, ""), now);
  }
  CHECK(judge.Violations().empty());
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, success without a run, is broken")
{
  judge.OnAnswer("q1", Success("q1"), now);
  CHECK(IsBroken("whole answer"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, body of a request is cut, is broken")
{
  request.id = "q2";
  request.bodyBytes = 20'000;
  run.id = "q2";
  run.bodyBytes = 19'999;
  judge.OnSent(request, now);
  judge.OnRun(run, now);
  CHECK(IsBroken("whole request"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, run that nobody sent, is broken")
{
  run.id = "q9";
  judge.OnRun(run, now);
  CHECK(IsBroken("unasked"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, key, organisation or service is wrong, is broken")
{
  std::string promise;
  SUBCASE("key")
  {
    run.keySeen = true;
    promise = "key kept";
  }
  SUBCASE("organisation")
  {
    run.organisation = "forged";
    promise = "own organisation";
  }
  SUBCASE("service")
  {
    run.service = "dispatch";
    promise = "route";
  }
  judge.OnRun(run, now);
  CHECK(IsBroken(promise));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, upstream leaves, late work is broken, early is not")
{
  judge.OnLeaveAcknowledged("i-1", now);
  now += Milliseconds(1'900);
  judge.OnRun(run, now);
  CHECK(judge.Violations().empty());
  now += Milliseconds(200);
  SendAndRun("q2");
  CHECK(IsBroken("leaving upstream"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, failure domain is out, late work is broken")
{
  judge.OnEvacuated("a", true, now);
  now += Milliseconds(5'100);
  SUBCASE("calm node")
  {
    judge.OnRun(run, now);
    CHECK(IsBroken("failure domain out"));
  }
  SUBCASE("node that was harmed a moment ago")
  {
    judge.OnNodeFault(1, now - Seconds(2));
    judge.OnRun(run, now);
    CHECK(judge.Violations().empty());
  }
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, withdrawn key, runs later, is broken")
{
  judge.OnKeyWithdrawn("key-north", now);
  now += Milliseconds(2'100);
  SendAndRun("q2");
  CHECK(IsBroken("withdrawn key"));
}

TEST_CASE_FIXTURE(JudgeFixture,
                  "PromiseJudge, key refused and then taken by one process, is broken")
{
  judge.OnKeyWithdrawn("key-north", now);
  judge.OnAnswer("q1", MakeTextAnswer(401, ""), now);
  now += Milliseconds(10);
  SUBCASE("the same process")
  {
    SendAndRun("q2");
    CHECK(IsBroken("no way back"));
  }
  SUBCASE("another process")
  {
    judge.OnNodeStart(0, now);
    SendAndRun("q2");
    CHECK(judge.Violations().empty());
  }
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, good key is denied, is broken")
{
  judge.OnAnswer("q1", MakeTextAnswer(401, ""), now);
  CHECK(IsBroken("denied"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, more than rate and burst in a window, is broken")
{
  judge.OnRate("north", 10, 10); // 60 in a window, 66 with the tenth, 86 with the slack
  int runs = 0;
  while (judge.Violations().empty() && runs < 200) {
    ++runs;
    now += Milliseconds(5);
    SendAndRun("r" + std::to_string(runs));
  }
  CHECK(IsBroken("rate and burst"));
  CHECK(runs == 87);
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, cold upstream gets too many starts, is broken")
{
  judge.OnColdStart("i-1", now + Seconds(2), 10); // 20 in a second
  int runs = 0;
  while (judge.Violations().empty() && runs < 200) {
    ++runs;
    now += Milliseconds(5);
    SendAndRun("r" + std::to_string(runs));
  }
  CHECK(IsBroken("cold upstream"));
  CHECK(runs == 21);
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, planned stop cuts a request, is broken")
{
  judge.OnStopSignal(0, now);
  judge.OnRun(run, now);
  now += Milliseconds(500);
  SUBCASE("calm node")
  {
    judge.OnCut("q1", now);
    CHECK(IsBroken("planned stop"));
  }
  SUBCASE("node was killed in its grace")
  {
    judge.OnNodeFault(0, now);
    judge.OnCut("q1", now);
    CHECK(judge.Violations().empty());
  }
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, process ends by itself, is broken")
{
  judge.OnExit(2, 139, now);
  CHECK(IsBroken("own end"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, stopped while it was loaded, may end by the signal")
{
  judge.OnNodeStart(2, now);
  judge.OnStopSignal(2, now + Milliseconds(17)); // as in seed 2007
  judge.OnExit(2, 143, now + Milliseconds(38));
  CHECK(judge.Violations().empty());
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, stopped while it runs, ends by the signal, broken")
{
  judge.OnNodeStart(2, now);
  judge.OnStopSignal(2, now + Seconds(1));
  judge.OnExit(2, 143, now + Seconds(1));
  CHECK(IsBroken("own end"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, ends by itself without a fault, broken")
{
  judge.OnNodeStart(2, now);
  judge.OnExit(2, 0, now + Seconds(1));
  CHECK(IsBroken("own end"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, confirmed route answered 404, is broken after bound")
{
  judge.OnRouteAdded("added-0", now);
  request.addedRoute = "added-0";
  for (const Milliseconds after : { Milliseconds(1'900), Milliseconds(2'100) }) {
    request.id = "r" + std::to_string(after.count());
    judge.OnSent(request, now + after);
    judge.OnAnswer(request.id, { 404, {}, "" }, now + after);
    CHECK(judge.Violations().empty() == (after < Milliseconds(2'000)));
  }
  CHECK(IsBroken("confirmed route"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, added route served and then 404, is broken at once")
{
  judge.OnNodeStart(request.node, now - Seconds(60));
  judge.OnRouteAdded("added-0", now);
  request.addedRoute = "added-0";
  SendAndRun("r1");
  judge.OnAnswer("r1", Success("r1"), now);
  SendAndRun("r2");
  judge.OnAnswer("r2", { 404, {}, "" }, now);
  CHECK(IsBroken("no way back"));
}

TEST_CASE_FIXTURE(JudgeFixture, "PromiseJudge, added key refused beside a store fault, is allowed")
{
  judge.OnKeyAdded("key-north", now - Seconds(10));
  judge.OnStoreFault(now - Seconds(2));
  judge.OnAnswer("q1", { 401, {}, "" }, now);
  CHECK(judge.Violations().empty());
  request.id = "q2";
  judge.OnSent(request, now + Seconds(2));
  judge.OnAnswer("q2", { 401, {}, "" }, now + Seconds(2));
  CHECK(IsBroken("denied"));
}
