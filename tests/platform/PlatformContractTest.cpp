#include "platform/PlatformBackends.h"
#include "platform/PlatformLimits.h"
#include "platform/PlatformVersion.h"

#include <atomic>
#include <thread>

using namespace mustardwinch;

namespace {

using Part = PlatformWrite::Part;

constexpr int kTimes = 40; // updates of each writer

struct FaultRow
{
  const char* name;
  PlatformFaults faults;
  ResultCode naive;     //!< what Write() answers
  ResultCode confirmed; //!< what WriteConfirmed() answers
};

const FaultRow kFaultRows[] = {
  { "none", {}, ResultCode::kOk, ResultCode::kOk },
  { "latency", { .latencyMs = 30 }, ResultCode::kOk, ResultCode::kOk },
  { "outage",
    { .outage = true },
    ResultCode::kPlatformUnavailable,
    ResultCode::kPlatformUnavailable },
  { "request lost", { .dropWrites = 1 }, ResultCode::kPlatformUnavailable, ResultCode::kOk },
  { "all requests lost",
    { .dropWrites = 100 },
    ResultCode::kPlatformUnavailable,
    ResultCode::kPlatformUnavailable },
  { "reply lost", { .loseReplies = 1 }, ResultCode::kPlatformUnavailable, ResultCode::kOk },
  { "reply lost twice", { .loseReplies = 2 }, ResultCode::kPlatformUnavailable, ResultCode::kOk },
  { "reply lost, then a stale read",
    { .loseReplies = 1, .staleReads = 1 },
    ResultCode::kPlatformUnavailable,
    ResultCode::kOk },
  { "reply malformed", { .malformedAnswers = 1 }, ResultCode::kPlatformBadAnswer, ResultCode::kOk },
  { "reply lost, then a malformed read",
    { .loseReplies = 1, .malformedAnswers = 2 },
    ResultCode::kPlatformUnavailable,
    ResultCode::kOk },
};

PlatformWrite MakeWriteOf(Part aPart, std::uint64_t aExpected, const std::string& aName)
{
  PlatformWrite write = MakeWrite(aExpected, 2, "second");
  write.part = aPart;
  write.name = aName;
  return write;
}

/** The object or its tombstone as the store has it; an empty object if it has neither. */
PlatformObject Stored(MemoryPlatform& aMemory, const std::string& aName)
{
  aMemory.SetFaults({});
  const PlatformChanges list = aMemory.List({ "test" }).Value();
  for (const PlatformObject& it : list.objects) {
    if (it.name == aName) {
      return it;
    }
  }
  return {};
}

bool HoldsSecond(const PlatformObject& aObject, Part aPart)
{
  const std::string& operation =
    aPart == Part::kStatus ? aObject.statusOperation : aObject.operation;
  return operation == "second" && aObject.deleted == (aPart == Part::kDelete);
}

struct Target
{
  const char* name;
  Part part;
  bool create;
};

const Target kTargets[] = {
  { "create", Part::kSpec, true },
  { "update", Part::kSpec, false },
  { "status", Part::kStatus, false },
  { "delete", Part::kDelete, false },
};

std::uint64_t Prepare(PlatformBackend& aBackend, const Target& aTarget, const std::string& aName)
{
  if (aTarget.create) {
    return 0;
  }
  PlatformWrite first = MakeWrite(0, 1, "first");
  first.name = aName;
  return aBackend.api.Write(first).Value().version;
}

void CheckRow(PlatformBackend& aBackend, const FaultRow& aRow, const Target& aTarget)
{
  const std::string name = std::string(aTarget.name) + "-" + std::to_string(&aRow - kFaultRows);
  const PlatformWrite write = MakeWriteOf(aTarget.part, Prepare(aBackend, aTarget, name), name);
  const std::uint64_t before = aBackend.api.List({ "test" }).Value().revision;
  aBackend.memory->SetFaults(aRow.faults);
  const auto result = aBackend.api.WriteConfirmed(write);
  CHECK(CodeOf(result) == aRow.confirmed);
  const PlatformObject stored = Stored(*aBackend.memory, name);
  const bool inForce = aRow.confirmed == ResultCode::kOk;
  CHECK(HoldsSecond(stored, aTarget.part) == inForce);
  const std::uint64_t writes = aBackend.api.List({ "test" }).Value().revision - before;
  CHECK(writes == (inForce ? 1 : 0));
  if (result) {
    CHECK(result.Value() == stored);
  }
}

/** Adds one to the value of a part of the object until kTimes writes are known to be done. */
template<typename Send>
void CountUp(PlatformApi& aApi, Send aSend, Part aPart, int aWriter, std::atomic<int>& aUnclear)
{
  int done = 0;
  for (int i = 0; done < kTimes; ++i) {
    const auto read = aApi.Get("test", "object");
    if (!read) {
      continue;
    }
    const auto& body = aPart == Part::kSpec ? read.Value().spec : read.Value().status;
    const int value = body.is_null() ? 0 : body.at("value").get<int>();
    const std::string operation = std::to_string(aWriter) + "-" + std::to_string(i);
    PlatformWrite write = MakeWrite(read.Value().version, value + 1, operation);
    write.part = aPart;
    const auto result = aSend(write);
    done += result ? 1 : 0;
    const auto code = CodeOf(result);
    aUnclear +=
      code == ResultCode::kPlatformUnclear || code == ResultCode::kPlatformUnavailable ? 1 : 0;
  }
}

} // namespace

TEST_CASE("Platform, fault table, confirmed writes take effect once and with the right verdict")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    for (const Target& target : kTargets) {
      CAPTURE(target.name);
      for (const FaultRow& row : kFaultRows) {
        CAPTURE(row.name);
        CheckRow(aBackend, row, target);
      }
    }
  });
}

TEST_CASE("Platform, fault table, plain writes answer what the writer alone can know")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    for (const FaultRow& row : kFaultRows) {
      CAPTURE(row.name);
      PlatformWrite write = MakeWrite(0, 1, "only");
      write.name = "plain-" + std::to_string(&row - kFaultRows);
      aBackend.memory->SetFaults(row.faults);
      CHECK(CodeOf(aBackend.api.Write(write)) == row.naive);
      aBackend.memory->SetFaults({});
    }
  });
}

TEST_CASE("Platform, reply lost after the write, sending it again gives a wrong verdict")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    aBackend.memory->SetFaults({ .loseReplies = 1 });
    const PlatformWrite write = MakeWrite(0, 1, "own");
    CHECK(CodeOf(aBackend.api.Write(write)) == ResultCode::kPlatformUnavailable);
    // Wrong: nobody else wrote, and the write is in force.
    CHECK(CodeOf(aBackend.api.Write(write)) == ResultCode::kPlatformConflict);
    CHECK(Stored(*aBackend.memory, "object").operation == "own");
    // Right, even on a write whose first try was a plain one.
    CHECK(CodeOf(aBackend.api.WriteConfirmed(write)) == ResultCode::kOk);
  });
}

TEST_CASE("Platform, replies lost and writes sent again, updates are doubled")
{
  PlatformBackend backend = MakeMemoryBackend();
  REQUIRE(backend.api.Write(MakeWrite(0, 0, "start")));
  const auto sendAgain = [&](const auto& aWrite) {
    const bool lose = aWrite.body.at("value").template get<int>() % 2 == 0;
    backend.memory->SetFaults({ .loseReplies = lose ? 1U : 0U });
    const auto first = backend.api.Write(aWrite);
    return first ? first : backend.api.Write(aWrite);
  };
  std::atomic<int> unclear{ 0 };
  CountUp(backend.api, sendAgain, Part::kSpec, 1, unclear);
  CHECK(unclear == 0);
  CHECK(Stored(*backend.memory, "object").spec.at("value") == 2 * kTimes - 1);
}

TEST_CASE("Platform, two writers of each part under lost replies, no update is lost or doubled")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    REQUIRE(aBackend.api.Write(MakeWrite(0, 0, "start")));
    std::atomic<int> unclearSpec{ 0 };
    std::atomic<int> unclearStatus{ 0 };
    // Faults come by the count of updates, so how many are hit does not depend on the scheduler.
    std::atomic<int> updates{ 0 };
    const auto confirmed = [&](const auto& aWrite) {
      if (++updates % 2 == 0) {
        aBackend.memory->SetFaults({ .dropWrites = 1, .loseReplies = 2, .staleReads = 1 });
      }
      return aBackend.api.WriteConfirmed(aWrite);
    };
    std::thread first([&] { CountUp(aBackend.api, confirmed, Part::kSpec, 1, unclearSpec); });
    std::thread second([&] { CountUp(aBackend.api, confirmed, Part::kSpec, 2, unclearSpec); });
    std::thread third([&] { CountUp(aBackend.api, confirmed, Part::kStatus, 3, unclearStatus); });
    std::thread fourth([&] { CountUp(aBackend.api, confirmed, Part::kStatus, 4, unclearStatus); });
    for (std::thread* it : { &first, &second, &third, &fourth }) {
      it->join();
    }
    CHECK(aBackend.memory->Counts().writes >
          static_cast<std::uint64_t>(updates)); // some were repeated
    const PlatformObject object = Stored(*aBackend.memory, "object");
    const int spec = object.spec.at("value").get<int>();
    const int status = object.status.at("value").get<int>();
    CHECK(spec >= 2 * kTimes);
    CHECK(spec <= 2 * kTimes + unclearSpec);
    CHECK(status >= 2 * kTimes);
    CHECK(status <= 2 * kTimes + unclearStatus);
  });
}

TEST_CASE("Platform, stale reads, answer the state before the last write")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    const auto first = aBackend.api.Write(MakeWrite(0, 1, "first"));
    const auto second = aBackend.api.Write(MakeWrite(first.Value().version, 2, "second"));
    REQUIRE(second);
    aBackend.memory->SetFaults({ .staleReads = 2 });
    CHECK(aBackend.api.Get("test", "object").Value() == first.Value());
    CHECK(aBackend.api.List({ "test" }).Value() == PlatformChanges{ 1, { first.Value() } });
    CHECK(aBackend.api.Get("test", "object").Value() == second.Value());
  });
}

TEST_CASE("Platform, watch, gives later changes of its kinds with tombstones")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    const auto first = aBackend.api.Write(MakeWrite(0, 1, "first"));
    PlatformWrite other = MakeWrite(0, 1, "other");
    other.kind = "other";
    REQUIRE(aBackend.api.Write(other));
    PlatformWrite removal = MakeWrite(first.Value().version, 0, "removal");
    removal.part = Part::kDelete;
    const auto removed = aBackend.api.Write(removal);
    const auto changes = aBackend.api.Watch({ "test" }, 1, Milliseconds(1000));
    CHECK(changes.Value() == PlatformChanges{ 3, { removed.Value() } });
    CHECK(removed.Value().deleted);
    CHECK(CodeOf(aBackend.api.Get("test", "object")) == ResultCode::kPlatformNotFound);
    CHECK(aBackend.api.Watch({ "test" }, 3, Milliseconds(10)).Value().objects.empty());
  });
}

TEST_CASE("Platform, watch that waits, is woken by a write and by an outage")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    const auto waitFor = [&](auto aAction) {
      const auto before = aBackend.memory->Counts().watches;
      const std::uint64_t revision = aBackend.api.List({ "test" }).Value().revision;
      Result<PlatformChanges> changes(ResultCode::kOk);
      std::thread waiter(
        [&] { changes = aBackend.api.Watch({ "test" }, revision, Milliseconds(20'000)); });
      while (aBackend.memory->Counts().watches == before) {
        std::this_thread::yield();
      }
      aAction();
      waiter.join();
      return changes;
    };
    const auto woken = waitFor([&] { CHECK(aBackend.api.Write(MakeWrite(0, 1, "first"))); });
    CHECK(woken.Value().objects.size() == 1);
    const auto failed = waitFor([&] { aBackend.memory->SetFaults({ .outage = true }); });
    CHECK(CodeOf(failed) == ResultCode::kPlatformUnavailable);
  });
}

TEST_CASE("Platform, compaction, a watch from before is told to list anew")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    const auto first = aBackend.api.Write(MakeWrite(0, 1, "first"));
    PlatformWrite removal = MakeWrite(first.Value().version, 0, "removal");
    removal.part = Part::kDelete;
    REQUIRE(aBackend.api.Write(removal));
    aBackend.memory->Compact();
    const auto old = aBackend.api.Watch({ "test" }, 1, Milliseconds(10));
    CHECK(CodeOf(old) == ResultCode::kPlatformCompacted);
    const auto fromTheFuture = aBackend.api.Watch({ "test" }, 9, Milliseconds(10));
    CHECK(CodeOf(fromTheFuture) == ResultCode::kPlatformCompacted);
    CHECK(aBackend.api.List({ "test" }).Value() == PlatformChanges{ 2, {} });
    CHECK(aBackend.api.Watch({ "test" }, 2, Milliseconds(10)).Value().objects.empty());
  });
}

TEST_CASE("Platform, calls, are counted by kind and a waiting watch once")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    static_cast<void>(aBackend.api.Get("test", "object"));
    static_cast<void>(aBackend.api.List({ "test" }));
    static_cast<void>(aBackend.api.List({ "test" }));
    static_cast<void>(aBackend.api.Write(MakeWrite(0, 1, "first")));
    static_cast<void>(aBackend.api.Watch({ "test" }, 1, Milliseconds(50)));
    CHECK(aBackend.memory->Counts() == PlatformCounts{ 1, 2, 1, 1 });
  });
}

TEST_CASE("Platform, requests that it can never take, are rejected")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    PlatformWrite badName = MakeWrite(0, 1, "x");
    badName.name = "../a b";
    CHECK(CodeOf(aBackend.api.Write(badName)) == ResultCode::kPlatformRejected);
    PlatformWrite orphan = MakeWrite(0, 1, "x");
    orphan.part = Part::kStatus;
    CHECK(CodeOf(aBackend.api.Write(orphan)) == ResultCode::kPlatformRejected);
    PlatformWrite large = MakeWrite(0, 1, "x");
    large.body = std::string(kMaxPlatformBodyBytes, 'x');
    CHECK(CodeOf(aBackend.api.WriteConfirmed(large)) == ResultCode::kPlatformRejected);
    large.body = std::string(kMaxPlatformBodyBytes - 2, 'x');
    CHECK(CodeOf(aBackend.api.Write(large)) == ResultCode::kOk);
  });
}

TEST_CASE("Platform, status written after a lost reply, does not hide the writer's own spec")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    aBackend.memory->SetFaults({ .loseReplies = 1 });
    const PlatformWrite own = MakeWrite(0, 1, "own");
    CHECK_FALSE(aBackend.api.Write(own));
    PlatformWrite status = MakeWrite(1, 5, "report");
    status.part = Part::kStatus;
    REQUIRE(aBackend.api.Write(status));
    const auto result = aBackend.api.WriteConfirmed(own);
    REQUIRE(result);
    CHECK(result.Value().version == 2);
    CHECK(result.Value().specVersion == 1);
    CHECK(result.Value().status == status.body);
  });
}

TEST_CASE("Platform, another write or deletion before, is a conflict")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    REQUIRE(aBackend.api.Write(MakeWrite(0, 1, "first")));
    REQUIRE(aBackend.api.Write(MakeWrite(1, 2, "other")));
    const auto late = aBackend.api.WriteConfirmed(MakeWrite(1, 3, "late"));
    CHECK(CodeOf(late) == ResultCode::kPlatformConflict);
    PlatformWrite removal = MakeWrite(2, 0, "removal");
    removal.part = Part::kDelete;
    REQUIRE(aBackend.api.WriteConfirmed(removal));
    const auto tooLate = aBackend.api.WriteConfirmed(MakeWrite(2, 3, "too-late"));
    CHECK(CodeOf(tooLate) == ResultCode::kPlatformConflict);
    removal.operation = "removal-of-another";
    CHECK(CodeOf(aBackend.api.WriteConfirmed(removal)) == ResultCode::kPlatformConflict);
  });
}

TEST_CASE("Platform, lost reply and then another writer, is unclear and not written again")
{
  for (const Part part : { Part::kSpec, Part::kDelete }) {
    ForEachBackend([&](PlatformBackend& aBackend) {
      constexpr std::uint32_t kLatencyMs = 200;
      aBackend.memory->SetFaults({ .latencyMs = kLatencyMs, .loseReplies = 1 });
      Result<PlatformObject> result(ResultCode::kOk);
      std::thread writer([&] { result = aBackend.api.WriteConfirmed(MakeWrite(0, 1, "own")); });
      while (aBackend.memory->Counts().gets == 0) {
        std::this_thread::yield();
      }
      // The read that would confirm the write is under way, but has not seen the store yet.
      aBackend.memory->SetFaults({});
      PlatformWrite other = MakeWrite(1, 2, "other");
      other.part = part;
      CHECK(aBackend.memory->Write(other));
      writer.join();
      CHECK(CodeOf(result) == ResultCode::kPlatformUnclear);
      CHECK(Stored(*aBackend.memory, "object").operation == "other");
    });
  }
}

// Guards against versions that go back, and writes that hit another object's version, when the
// platform comes back from a copy and gives its numbers out again.
TEST_CASE("Platform, back from a copy, versions go on and those of before are conflicts")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    const auto write = [&](std::uint64_t aExpected, int aValue) {
      return aBackend.api.Write(MakeWrite(aExpected, aValue, "op" + std::to_string(aValue)));
    };
    const std::uint64_t copied = write(0, 1).Value().version;
    aBackend.memory->TakeCopy();
    const std::uint64_t lost = write(copied, 2).Value().version;
    aBackend.memory->RestoreCopy();

    CHECK(CodeOf(aBackend.api.Watch({ "test" }, lost, Milliseconds(10))) ==
          make_error_code(ResultCode::kPlatformCompacted));
    CHECK(CodeOf(write(lost, 3)) == make_error_code(ResultCode::kPlatformConflict));
    CHECK(CodeOf(write(copied, 3)) == make_error_code(ResultCode::kPlatformConflict));

    const PlatformObject now = aBackend.api.Get("test", "object").Value();
    CHECK(now.spec == nlohmann::json{ { "value", 1 } });
    CHECK(now.version > lost);
    CHECK(PlatformNumberOf(now.version) == PlatformNumberOf(copied));
    const PlatformChanges list = aBackend.api.List({ "test" }).Value();
    CHECK(list.revision > lost);
    CHECK(list.epochBegin == list.revision);

    const auto fresh = write(now.version, 4);
    REQUIRE(fresh);
    CHECK(PlatformNumberOf(fresh.Value().version) == PlatformNumberOf(lost));
    const auto changes = aBackend.api.Watch({ "test" }, list.revision, Milliseconds(1'000));
    REQUIRE(changes);
    REQUIRE(changes.Value().objects.size() == 1);
    CHECK(changes.Value().objects.front() == fresh.Value());
    CHECK(changes.Value().epochBegin == list.revision);
  });
}

TEST_CASE("Platform, back from a copy, a waiting watch must list anew")
{
  ForEachBackend([](PlatformBackend& aBackend) {
    aBackend.memory->TakeCopy();
    const std::uint64_t revision = aBackend.api.Write(MakeWrite(0, 1, "op1")).Value().version;
    std::error_code code;
    std::thread watch(
      [&] { code = CodeOf(aBackend.api.Watch({ "test" }, revision, Milliseconds(3'000))); });
    while (aBackend.memory->Counts().watches == 0) {
      std::this_thread::sleep_for(Milliseconds(5));
    }
    aBackend.memory->RestoreCopy();
    watch.join();
    CHECK(code == make_error_code(ResultCode::kPlatformCompacted));
    CHECK(aBackend.api.List({ "test" }).Value().objects.empty());
    CHECK(aBackend.api.Write(MakeWrite(0, 2, "op2")).Value().version > revision);
  });
}
