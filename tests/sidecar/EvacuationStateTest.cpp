#include "sidecar/EvacuationState.h"
#include "store/RewriteTime.h"

#include <doctest/doctest.h>

using namespace mustardwinch;
using Change = EvacuationState::Change;

namespace {

/** "a" is evacuated in the first history. */
struct EvacuatedDomain
{
  EvacuatedDomain() { state.Set({ "a" }, { 1, 50 }, now); }

  EvacuationState state;
  TimePoint now{ Seconds(1'000) };
};

} // namespace

TEST_CASE_FIXTURE(EvacuatedDomain, "EvacuationState, earlier revision of one epoch, is left out")
{
  CHECK(state.Set({}, { 1, 49 }, now) == Change::kOutdated);
  CHECK(state.SetOne("a", false, { 1, 49 }, now) == Change::kOutdated);
  CHECK(state.IsEvacuated("a"));
  CHECK(state.Set({}, { 1, 51 }, now) == Change::kInEffect);
  CHECK_FALSE(state.IsEvacuated("a"));
}

// Guards against work for a failure domain whose evacuation stands at a revision given out again.
TEST_CASE_FIXTURE(EvacuatedDomain, "EvacuationState, smaller revision of a later epoch, counts")
{
  CHECK(state.Set({ "a", "b" }, { 2, 7 }, now) == Change::kInEffect);
  CHECK(state.IsEvacuated("b"));
  CHECK(state.SetOne("a", false, { 2, 8 }, now) == Change::kInEffect);
  CHECK_FALSE(state.IsEvacuated("a"));
  CHECK(state.Set({ "a" }, { 1, 90 }, now) == Change::kOutdated);
}

// Guards against work for a failure domain between the loss of its evacuation and the rewriting.
TEST_CASE_FIXTURE(EvacuatedDomain, "EvacuationState, copy lacks it, kept until written again")
{
  CHECK(state.Set({}, { 2, 7 }, now) == Change::kNone);
  CHECK(state.IsEvacuated("a"));
  CHECK(state.Listed().empty());
  CHECK(state.SetOne("a", true, { 2, 9 }, now) == Change::kNone);
  now += Seconds(60);
  CHECK(state.Expire(now) == Change::kNone);
  CHECK(state.IsEvacuated("a"));
  CHECK(state.SetOne("a", false, { 2, 10 }, now) == Change::kInEffect);
  CHECK_FALSE(state.IsEvacuated("a"));
}

TEST_CASE_FIXTURE(EvacuatedDomain, "EvacuationState, copy lacks it, never written again, ends")
{
  state.Set({}, { 2, 7 }, now);
  CHECK(state.Expire(now + kRewriteTime - Milliseconds(1)) == Change::kNone);
  CHECK(state.Expire(now + kRewriteTime) == Change::kInEffect);
  CHECK_FALSE(state.IsEvacuated("a"));
}

TEST_CASE_FIXTURE(EvacuatedDomain, "EvacuationState, lost and ended by its removal, ends at once")
{
  state.Set({}, { 2, 7 }, now);
  CHECK(state.SetOne("a", false, { 2, 8 }, now) == Change::kInEffect);
  CHECK_FALSE(state.IsEvacuated("a"));
}

TEST_CASE_FIXTURE(EvacuatedDomain, "EvacuationState, lost in two histories in a row, kept anew")
{
  state.Set({}, { 2, 7 }, now);
  now += Seconds(4);
  CHECK(state.Set({}, { 3, 5 }, now) == Change::kNone);
  CHECK(state.Expire(now + Seconds(4)) == Change::kNone);
  CHECK(state.IsEvacuated("a"));
}
