#include "sidecar/UpstreamRefusal.h"

#include <doctest/doctest.h>

#include <vector>

using namespace mustardwinch;

namespace {

/** The refusal of a full upstream, as it should be. */
struct TrueRefusal
{
  TrueRefusal()
  {
    signs.status = 503;
    signs.saysNotRun = true;
    signs.hasOwnId = true;
  }

  RefusalSigns signs;
};

/** All answers that signs can tell apart. */
std::vector<RefusalSigns> AllSigns()
{
  std::vector<RefusalSigns> all;
  for (const unsigned status :
       { 200U, 204U, 302U, 400U, 404U, 408U, 421U, 429U, 500U, 503U, 504U }) {
    for (unsigned bits = 0; bits < 64; ++bits) {
      RefusalSigns signs;
      signs.status = status;
      signs.saysNotRun = (bits & 1U) != 0;
      signs.isSigned = (bits & 2U) != 0;
      signs.hasOwnId = (bits & 4U) != 0;
      signs.newConnection = (bits & 8U) != 0;
      signs.namesAnother = (bits & 16U) != 0;
      signs.namesExpected = (bits & 32U) != 0;
      if (!signs.namesAnother || !signs.namesExpected) {
        all.push_back(signs);
      }
    }
  }
  return all;
}

bool IsTakenAsNotRun(const RefusalSigns& aSigns)
{
  const RefusalVerdict verdict = JudgeRefusal(aSigns);
  return verdict == RefusalVerdict::kNotRun || verdict == RefusalVerdict::kWrongInstance;
}

} // namespace

TEST_CASE_FIXTURE(TrueRefusal, "JudgeRefusal, upstream says that it did not run it, not run")
{
  CHECK(JudgeRefusal(signs) == RefusalVerdict::kNotRun);
  signs.status = 429;
  CHECK(JudgeRefusal(signs) == RefusalVerdict::kNotRun);
  signs.status = 400;
  CHECK(JudgeRefusal(signs) == RefusalVerdict::kNotRun);
}

TEST_CASE_FIXTURE(TrueRefusal, "JudgeRefusal, another instance has the address, not run")
{
  signs.status = 421;
  signs.saysNotRun = false;
  signs.namesAnother = true;
  CHECK(JudgeRefusal(signs) == RefusalVerdict::kWrongInstance);
}

TEST_CASE_FIXTURE(TrueRefusal, "JudgeRefusal, success that says that it did not run, may have run")
{
  for (const unsigned status : { 200U, 204U, 302U }) {
    signs.status = status;
    CHECK(JudgeRefusal(signs) == RefusalVerdict::kMayHaveRun);
  }
}

// Guards against sending all requests to an address that another instance has.
TEST_CASE_FIXTURE(TrueRefusal,
                  "JudgeRefusal, another instance signs that it did not run it, wrong instance")
{
  signs.status = 421;
  signs.isSigned = true;
  CHECK(JudgeRefusal(signs) == RefusalVerdict::kWrongInstance);
  signs.namesAnother = true;
  CHECK(JudgeRefusal(signs) == RefusalVerdict::kWrongInstance);
}

TEST_CASE_FIXTURE(TrueRefusal, "JudgeRefusal, expected instance answers 421, may have run")
{
  signs.status = 421;
  signs.saysNotRun = false;
  signs.namesExpected = true;
  CHECK(JudgeRefusal(signs) == RefusalVerdict::kMayHaveRun);
}

TEST_CASE("JudgeRefusal, any answer without the upstream's word, not run only by a foreign 421")
{
  for (const RefusalSigns& it : AllSigns()) {
    if (!it.saysNotRun && IsTakenAsNotRun(it)) {
      CHECK(it.status == 421);
      CHECK_FALSE(it.isSigned);
      CHECK(it.namesAnother);
    }
  }
}

TEST_CASE("JudgeRefusal, any answer that may belong to an earlier request, never not run")
{
  for (const RefusalSigns& it : AllSigns()) {
    if (!it.hasOwnId && !it.newConnection) {
      CHECK_FALSE(IsTakenAsNotRun(it));
    }
  }
}

TEST_CASE("JudgeRefusal, any answer that is taken as a result, callers are promised nothing")
{
  for (const RefusalSigns& it : AllSigns()) {
    if (JudgeRefusal(it) == RefusalVerdict::kNoRefusal) {
      CHECK_FALSE(IsRefusalStatus(it.status));
    }
  }
}
