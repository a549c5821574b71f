#include "health/EjectionUpdater.h"

namespace mustardwinch {
namespace {

constexpr int kMaxTries = 8;

/** The set and version of an object; an empty set of version 0 where there is none. */
struct ReadSet
{
  EjectionSet set;
  std::uint64_t version = 0;
};

Result<ReadSet> Interpret(const Result<PlatformObject>& aObject)
{
  if (!aObject) {
    if (aObject.Error().code == ResultCode::kPlatformNotFound) {
      return ReadSet{};
    }
    return aObject.Error();
  }
  const std::optional<EjectionSet> set = EjectionSet::FromJson(aObject.Value().spec);
  if (!set) {
    return Result<ReadSet>(ResultCode::kPlatformBadAnswer, "ejections");
  }
  return ReadSet{ *set, aObject.Value().version };
}

} // namespace

EjectionUpdater::EjectionUpdater(EjectionStore aStore, std::string aWriter)
  : mStore(std::move(aStore))
  , mWriter(std::move(aWriter))
{
}

Result<EjectionSet> EjectionUpdater::Update(const std::string& aService, const Decision& aDecision)
{
  for (int i = 0; i < kMaxTries; ++i) {
    const Result<ReadSet> read = Interpret(mStore.read(aService));
    if (!read) {
      return read.Error();
    }
    EjectionSet wanted = aDecision(read.Value().set);
    if (wanted == read.Value().set) {
      return wanted;
    }
    PlatformWrite write;
    write.kind = EjectionSet::kKind;
    write.name = aService;
    write.expectedVersion = read.Value().version;
    write.body = wanted.ToJson();
    write.writer = mWriter;
    write.operation = mWriter + "/ejection/" + std::to_string(mNextOperation++);
    const Result<PlatformObject> written = mStore.write(write);
    if (written) {
      return wanted;
    }
    // After either of these the object holds another write: read it and decide anew.
    const bool raced = written.Error().code == ResultCode::kPlatformConflict ||
                       written.Error().code == ResultCode::kPlatformUnclear;
    if (!raced) {
      return written.Error();
    }
  }
  return Result<EjectionSet>(ResultCode::kPlatformConflict, aService);
}

} // namespace mustardwinch
